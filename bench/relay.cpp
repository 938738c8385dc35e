/// Measures relaying of event streams from an HTTP client to an HTTP server on one event loop:
/// events per second of processor time, latency compared with direct streams in the same run,
/// memory per stream and allocations per event. Source and sink run in separate processes.

#include "relay_load.hpp"

#include "endivelatch/net/http_client.hpp"
#include "endivelatch/net/http_server.hpp"
#include "endivelatch/net/sse_reader.hpp"

#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <unordered_map>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

std::uint64_t allocations = 0; ///< Calls of `malloc` so far.

} // namespace

// Counts every allocation of the process, including those in libraries.
extern "C" void* __libc_malloc(std::size_t size); // NOLINT
extern "C" void* malloc(std::size_t size)
{
    ++allocations;
    return __libc_malloc(size);
}

namespace endivelatch::bench {
namespace {

/// A snapshot of the resource usage and the counters of the relay's process.
struct process_usage {
    std::int64_t rss_kb = 0;
    double cpu_s = 0;
    std::uint64_t events = 0;
    std::uint64_t allocated = 0;
};

/// Returns the resident memory of this process in kilobytes.
std::int64_t rss_kb()
{
    std::ifstream status{"/proc/self/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::atoll(line.c_str() + 6);
        }
    }
    return 0;
}

/// Returns the processor time of this process in seconds.
double cpu_s()
{
    timespec ts{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

/// Forwards every stream event by event.
class relay {
public:
    relay(event_loop& loop, std::uint16_t source)
        : url_{"http://127.0.0.1:" + std::to_string(source) + "/stream"},
          client_{loop,
                  {[this](call_id id, int status, const http_headers&) {
                       server_.begin_stream(streams_.at(id).to, status,
                                            {{"content-type", "text/event-stream"}});
                   },
                   [this](call_id id, std::string_view bytes) { forward(streams_.at(id), bytes); },
                   [this](call_id id, call_end&&) {
                       server_.finish(streams_.at(id).to);
                       streams_.erase(id);
                   }}},
          server_{loop, make_settings(), {[this](http_request&& it) { begin(it); }, {}, {}}}
    {
        server_.start();
    }

    /// Returns the port that the server listens on.
    std::uint16_t port() const { return server_.listening().front().port; }

    /// Returns the number of events forwarded so far.
    std::uint64_t events() const { return events_; }

    /// Returns a snapshot of the process usage.
    process_usage measure() const { return {rss_kb(), cpu_s(), events_, allocations}; }

private:
    struct stream {
        exchange_id to;
        sse_reader reader;
    };

    static http_server_settings make_settings()
    {
        http_server_settings settings;
        settings.listen = {{"127.0.0.1", 0}};
        return settings;
    }

    void begin(const http_request& request)
    {
        http_call call;
        call.url = url_;
        call.may_repeat = true;
        streams_[client_.start(std::move(call))].to = request.id;
    }

    void forward(stream& it, std::string_view bytes)
    {
        it.reader.feed(bytes);
        while (auto event = it.reader.next()) {
            ++events_;
            server_.write(it.to, std::make_shared<const std::string>(std::move(event->raw)));
        }
    }

    std::string url_;
    std::unordered_map<call_id, stream> streams_;
    std::uint64_t events_ = 0;
    http_client client_;
    http_server server_;
};

/// Runs a function in a child process. Returns the read end of a pipe that the function writes to.
template <class Function>
int run_in_process(Function function)
{
    int pipe_fds[2] = {-1, -1};
    if (pipe(pipe_fds) != 0) {
        std::exit(1);
    }
    if (fork() == 0) {
        close(pipe_fds[0]);
        function(pipe_fds[1]);
        std::_Exit(0);
    }
    close(pipe_fds[1]);
    return pipe_fds[0];
}

/// Reads one line from a descriptor.
std::string read_line(int fd)
{
    std::string line;
    char c = 0;
    while (read(fd, &c, 1) == 1 && c != '\n') {
        line += c;
    }
    return line;
}

void write_line(int fd, const std::string& line)
{
    const std::string text = line + "\n";
    if (write(fd, text.data(), text.size()) < 0) {
        std::exit(1);
    }
}

/// Runs the source until its process is terminated.
void run_source(int out, const relay_phase& phase)
{
    event_loop loop;
    const stream_source source{loop, phase};
    write_line(out, std::to_string(source.port()));
    loop.run();
}

/// Runs the sink until all streams have ended, then writes the latency percentiles.
void run_sink(int out, const relay_phase& phase, std::uint16_t source, std::uint16_t target)
{
    event_loop loop;
    stream_sink sink{loop, phase, source, target};
    loop.run();
    write_line(out, "direct_p50_us=" + std::to_string(sink.direct.quantile(0.5)) +
                        " direct_p99_us=" + std::to_string(sink.direct.quantile(0.99)) +
                        " relayed_p50_us=" + std::to_string(sink.relayed.quantile(0.5)) +
                        " relayed_p99_us=" + std::to_string(sink.relayed.quantile(0.99)));
}

/// Prints the results between two snapshots of a phase.
void print(const relay_phase& phase, const process_usage& before, const process_usage& begin,
           const process_usage& end, const std::string& delays)
{
    const auto events = static_cast<double>(end.events - begin.events);
    const auto per_stream_kb = static_cast<double>(end.rss_kb - before.rss_kb) / phase.relayed;
    std::cout << "bench=relay phase=" << phase.name << " streams=" << phase.relayed
              << " events=" << end.events - begin.events << " events_per_cpu_s="
              << static_cast<std::int64_t>(events / (end.cpu_s - begin.cpu_s))
              << " allocations_per_event="
              << static_cast<double>(end.allocated - begin.allocated) / std::max(events, 1.0)
              << " rss_kb=" << end.rss_kb << " rss_per_stream_kb=" << per_stream_kb << " " << delays
              << std::endl;
}

/// Runs one phase and prints its results.
void run_phase(const relay_phase& phase)
{
    const int source_out = run_in_process([&](int out) { run_source(out, phase); });
    const auto source = static_cast<std::uint16_t>(std::stoi(read_line(source_out)));
    event_loop loop;
    relay event_relay{loop, source};
    const process_usage before = event_relay.measure();
    const int sink_out =
        run_in_process([&](int out) { run_sink(out, phase, source, event_relay.port()); });
    // Measures from one third to two thirds of the events, which excludes opening and closing
    // streams.
    const auto total =
        static_cast<std::uint64_t>(phase.relayed) * static_cast<std::uint64_t>(phase.events);
    process_usage begin = before;
    process_usage end = before;
    io_watcher sink_watcher{loop, sink_out, [&](io_interest) { loop.stop(); }};
    sink_watcher.watch({true, false});
    timer sample{loop, [&] {
                     if (event_relay.events() <= total / 3) {
                         begin = event_relay.measure();
                     }
                     if (event_relay.events() <= total * 2 / 3 || phase.events < 3) {
                         end = event_relay.measure();
                     }
                     sample.start(std::chrono::milliseconds{20});
                 }};
    sample.start(std::chrono::milliseconds{20});
    loop.run();
    print(phase, before, begin, end, read_line(sink_out));
}

} // namespace
} // namespace endivelatch::bench

int main(int argc, char** argv)
{
    using namespace endivelatch;
    using namespace endivelatch::bench;
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    const std::vector<relay_phase> phases{
        {"paced", 640, 64, 45, duration{61'000}, {}},
        {"saturated", 50, 0, 20'000, duration{1}, {}},
        {"idle", 250, 1, 1, duration{1'000}, std::chrono::milliseconds{600}},
        {"idle", 500, 1, 1, duration{1'000}, std::chrono::milliseconds{600}},
        {"idle", 1'000, 1, 1, duration{1'000}, std::chrono::milliseconds{600}},
        {"active", 250, 1, 15, duration{61'000}, {}},
        {"active", 500, 1, 15, duration{61'000}, {}},
        {"active", 1'000, 1, 15, duration{61'000}, {}},
    };
    for (const auto& it : phases) {
        if (argc > 1 && it.name != argv[1]) {
            continue;
        }
        if (fork() == 0) {
            setpgid(0, 0);
            run_phase(it);
            std::cout.flush();
            kill(0, SIGTERM);
        }
        int status = 0;
        wait(&status);
    }
    return 0;
}
