#include "endivelatch/wire/codec.hpp"
#include "endivelatch/wire/frame.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>

/// Processor time of messages between routers: encoding with sealing, and opening with decoding.
namespace {

std::size_t allocations = 0;
std::size_t allocated_bytes = 0;

} // namespace

// The replaced operators below belong together; the compiler sees them apart after inlining.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
// NOLINTBEGIN(misc-new-delete-overloads,cppcoreguidelines-no-malloc)
void* operator new(std::size_t size)
{
    ++allocations;
    allocated_bytes += size;
    if (void* out = std::malloc(size)) {
        return out;
    }
    throw std::bad_alloc{};
}

void operator delete(void* it) noexcept
{
    std::free(it);
}

void operator delete(void* it, std::size_t /*size*/) noexcept
{
    std::free(it);
}
// NOLINTEND(misc-new-delete-overloads,cppcoreguidelines-no-malloc)

namespace endivelatch {
namespace {

constexpr int rounds = 100'000;
constexpr std::size_t event_size = 100;
constexpr int packet_summaries = 32;

/// Prints the time, allocations and bytes of one call.
template <class Call>
void measure(const char* name, Call call)
{
    call();
    const auto first_allocations = allocations;
    const auto first_bytes = allocated_bytes;
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < rounds; ++n) {
        call();
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
    std::printf("bench=wire call=%s ns=%.0f allocations=%.1f allocated_bytes=%.0f\n", name,
                spent.count() / rounds,
                static_cast<double>(allocations - first_allocations) / rounds,
                static_cast<double>(allocated_bytes - first_bytes) / rounds);
}

/// Returns a packet that is nearly full of summaries.
gossip_packet new_packet()
{
    gossip_packet out;
    out.from = router_id{"router-100"};
    out.from_run = incarnation{1'764'000'000};
    for (int n = 0; n < packet_summaries; ++n) {
        summary_entry it;
        it.owner = router_id{"router-" + std::to_string(n / 2)};
        it.owner_run = out.from_run;
        it.key = {summary_kind::target_load, "target-" + std::to_string(n)};
        it.version = summary_version{1'000};
        it.value = "7";
        out.summaries.push_back(it);
    }
    return out;
}

peer_envelope new_event()
{
    const attempt_key key{{router_id{"gent-1"}, incarnation{1'764'000'000}, 42}, attempt{1}};
    return {
        router_id{"gent-2"},
        incarnation{1'764'000'000},
        {1'764'000'000'000'000, 9},
        answer_event{key, event_number{3}, std::make_shared<const std::string>(event_size, 'x')}};
}

void run()
{
    const std::string key(32, 'k');
    const auto message = new_event();
    const auto bytes = encode(message);
    std::printf("bench=wire event_bytes=%zu frame_bytes=%zu\n", event_size,
                bytes.size() + frame_header_size);
    std::string out;
    measure("encode", [&] {
        out.clear();
        encode_to(out, message);
    });
    measure("decode", [&] { return has_value(decode(bytes)); });
    const auto packet = new_packet();
    const auto packet_bytes = encode(packet);
    std::printf("bench=wire packet_bytes=%zu\n", packet_bytes.size());
    measure("encode_packet", [&] { return encode(packet); });
    measure("decode_packet", [&] { return has_value(decode_gossip(packet_bytes)); });
    const authenticator code{key};
    measure("authentication_code", [&] { return code.compute_tag(1, bytes); });
    frame_writer writer{key};
    std::string content;
    measure("encode_and_seal", [&] {
        content.clear();
        out.clear();
        encode_to(content, message);
        writer.append(out, content);
    });
    frame_writer sender{key};
    std::string stream;
    for (int n = 0; n <= rounds; ++n) {
        sender.append(stream, bytes);
    }
    frame_reader reader{key, max_message_size};
    std::size_t at = 0;
    const auto size = bytes.size() + frame_header_size;
    measure("open_and_decode", [&] {
        reader.feed(std::string_view{stream}.substr(at, size));
        at += size;
        return has_value(decode(value_of(*reader.next())));
    });
}

} // namespace
} // namespace endivelatch

int main()
{
    endivelatch::run();
}
