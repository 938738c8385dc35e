#include "endivelatch/wire/codec.hpp"
#include "endivelatch/wire/frame.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>

/// Measures the processor time and allocations of encoding, authenticating and decoding messages
/// between routers.
namespace {

std::size_t allocations = 0;
std::size_t allocated_bytes = 0;

} // namespace

// The operators below match each other; after inlining, GCC sees free() on memory from operator
// new.
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

/// Prints the mean time, allocations and allocated bytes of a call.
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
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    std::printf("bench=wire call=%s ns=%.0f allocations=%.1f allocated_bytes=%.0f\n", name,
                elapsed.count() / rounds,
                static_cast<double>(allocations - first_allocations) / rounds,
                static_cast<double>(allocated_bytes - first_bytes) / rounds);
}

/// Returns a gossip packet nearly filled with summaries.
gossip_packet make_packet()
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

peer_envelope make_event()
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
    const auto message = make_event();
    const auto bytes = encode(message);
    std::printf("bench=wire event_bytes=%zu frame_bytes=%zu\n", event_size,
                bytes.size() + frame_header_size);
    std::string out;
    measure("encode", [&] {
        out.clear();
        encode_to(out, message);
    });
    measure("decode", [&] { return has_value(decode(bytes)); });
    const auto packet = make_packet();
    const auto packet_bytes = encode(packet);
    std::printf("bench=wire packet_bytes=%zu\n", packet_bytes.size());
    measure("encode_packet", [&] { return encode(packet); });
    measure("decode_packet", [&] { return has_value(decode_gossip(packet_bytes)); });
    const authenticator auth{key};
    measure("authentication_code", [&] { return auth.compute_tag(1, bytes); });
    frame_writer writer{key};
    std::string payload;
    measure("encode_and_seal", [&] {
        payload.clear();
        out.clear();
        encode_to(payload, message);
        writer.append(out, payload);
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
