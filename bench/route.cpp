/// Measures the processor time of choosing targets, of rendezvous hashing over all targets and of
/// ownership changes, for several fleet sizes.

#include "endivelatch/routing/route.hpp"
#include "endivelatch/routing/ownership.hpp"
#include "endivelatch/routing/rendezvous.hpp"

#include <benchmark/benchmark.h>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <string>

namespace {

using namespace endivelatch;

constexpr double nanoseconds_per_second = 1e9;
constexpr int domains = 8;

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

target_document make_target(int n)
{
    target_document it;
    it.id = target_id{"t" + std::to_string(n)};
    it.pool = pool_id{"draft"};
    it.domain = domain_id{"d" + std::to_string(n % domains)};
    it.region = region_id{"r" + std::to_string(n % domains / 4)};
    return it;
}

member make_router(int n)
{
    member it;
    it.id = router_id{"e" + std::to_string(n)};
    it.domain = domain_id{"d" + std::to_string(n % domains)};
    it.region = region_id{"r" + std::to_string(n % domains / 4)};
    return it;
}

route_request make_request(int n, int targets)
{
    route_request it;
    it.pool = pool_id{"draft"};
    it.organisation = organisation_id{"o" + std::to_string(n % 10)};
    it.chat = chat_id{"c" + std::to_string(n)};
    it.keeps_hints = true;
    if (n % 2 == 0) {
        it.hint = warm_hint{it.organisation, it.chat, make_target(n % targets).id,
                            incarnation{1},  {},      4000};
    }
    return it;
}

void measure_choice(int targets)
{
    constexpr int distinct = 4096;
    constexpr int choices = 200'000;
    target_directory directory;
    const auto before_memory = mallinfo2().uordblks;
    const double before_build = processor_seconds();
    for (int it = 0; it < targets; ++it) {
        directory.set_target(make_target(it));
        directory.target_up(make_target(it).id, incarnation{1}, {});
    }
    const double build = processor_seconds() - before_build;
    const auto memory = mallinfo2().uordblks - before_memory;
    std::vector<route_request> requests;
    requests.reserve(distinct);
    for (int it = 0; it < distinct; ++it) {
        requests.push_back(make_request(it, targets));
    }
    std::uint64_t examined = 0;
    const double before = processor_seconds();
    for (int it = 0; it < choices; ++it) {
        const auto choice = choose_targets(directory, requests[it % distinct], {});
        benchmark::DoNotOptimize(choice.candidates.data());
        examined += choice.examined;
    }
    const double elapsed = processor_seconds() - before;
    std::printf("what=choice targets=%d nanoseconds=%.0f examined=%.2f join_microseconds=%.1f "
                "bytes_a_target=%zu\n",
                targets, elapsed / choices * nanoseconds_per_second,
                static_cast<double>(examined) / choices, build / targets * 1e6, memory / targets);
}

void measure_rendezvous(int targets)
{
    constexpr int choices = 2000;
    std::vector<std::uint64_t> hashes;
    hashes.reserve(targets);
    for (int it = 0; it < targets; ++it) {
        hashes.push_back(stable_hash(make_target(it).id.str()));
    }
    const double before = processor_seconds();
    for (int it = 0; it < choices; ++it) {
        const auto top = rendezvous_top(mix_bits(it), std::span<const std::uint64_t>{hashes}, 4,
                                        [](std::uint64_t n) { return n; });
        benchmark::DoNotOptimize(top.data());
    }
    const double elapsed = processor_seconds() - before;
    std::printf("what=rendezvous_over_all targets=%d nanoseconds=%.0f\n", targets,
                elapsed / choices * nanoseconds_per_second);
}

void measure_ownership(int routers, int targets)
{
    constexpr int changes = 400;
    ownership owners;
    std::vector<target_document> documents;
    std::vector<member> members;
    documents.reserve(targets);
    members.reserve(routers);
    for (int it = 0; it < targets; ++it) {
        documents.push_back(make_target(it));
    }
    for (int it = 0; it < routers; ++it) {
        members.push_back(make_router(it));
    }
    owners.set_targets(documents);
    owners.set_routers(members);
    const double before = processor_seconds();
    std::size_t moved = 0;
    for (int it = 0; it < changes; ++it) {
        auto& router = members[it / 2 % routers];
        router.status = it % 2 == 0 ? member_status::dead : member_status::alive;
        moved += owners.set_router(router).size();
    }
    const double elapsed = processor_seconds() - before;
    std::printf("what=ownership_change routers=%d targets=%d microseconds=%.1f moved=%.2f\n",
                routers, targets, elapsed / changes * 1e6, static_cast<double>(moved) / changes);
}

} // namespace

int main()
{
    for (const int targets : {20, 100, 1000, 5300}) {
        measure_choice(targets);
    }
    for (const int targets : {20, 100, 1000, 5300}) {
        measure_rendezvous(targets);
    }
    measure_ownership(8, 24);
    measure_ownership(100, 312);
    measure_ownership(1700, 5300);
    return 0;
}
