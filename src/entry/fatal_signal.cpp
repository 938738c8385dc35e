#include "endivelatch/entry/fatal_signal.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <string_view>

#include <unistd.h>

namespace endivelatch {

namespace {

std::atomic<const char*> last_event{"start"};

/// A stack of its own, since an overflow of the usual one may be the cause.
alignas(16) std::array<char, 65'536> handler_stack{};

constexpr std::array fatal_signals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

const char* name_of(int signal)
{
    switch (signal) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGFPE:
        return "SIGFPE";
    case SIGILL:
        return "SIGILL";
    default:
        return "SIGABRT";
    }
}

/// Line of a fixed size that is built without allocation.
class line_buffer {
public:
    void append(std::string_view text)
    {
        const auto n = std::min(text.size(), bytes_.size() - size_);
        std::memcpy(bytes_.data() + size_, text.data(), n);
        size_ += n;
    }

    /// Writes the line; an error cannot be reported any more.
    void write_to(int fd) const
    {
        [[maybe_unused]] const auto written = ::write(fd, bytes_.data(), size_);
    }

private:
    std::array<char, 256> bytes_{};
    std::size_t size_ = 0;
};

/// Calls only functions that are safe in a signal handler.
void handle(int signal)
{
    line_buffer line;
    line.append("level=error event=fatal_signal signal=");
    line.append(name_of(signal));
    line.append(" last_event=");
    line.append(last_event.load());
    line.append("\n");
    line.write_to(STDOUT_FILENO);
    // The default action is in force again, as the handler was installed for one signal.
    ::raise(signal);
}

} // namespace

void log_fatal_signals()
{
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action {};
    action.sa_handler = handle;
    action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
    for (const int signal : fatal_signals) {
        ::sigaction(signal, &action, nullptr);
    }
}

void set_last_event(const char* name)
{
    last_event.store(name, std::memory_order_relaxed);
}

} // namespace endivelatch
