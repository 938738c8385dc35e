#include "traffic/yield_replay.hpp"

#include <chrono>
#include <numeric>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

constexpr std::size_t slots = 4;
constexpr duration load_length = std::chrono::seconds{15};
constexpr std::uint64_t seeds = 5;

duration ms(double n)
{
    return duration{std::llround(n * 1'000)};
}

/// Three kinds that ask for a third of the work each, at `load` times what four slots can do: a
/// short urgent one, a medium one, and a long one that is the least urgent.
std::vector<replay_kind> three_kinds(double load)
{
    const auto kind = [&](std::uint32_t priority, double work_ms, double spread, double aim_ms) {
        const auto mean_ms = work_ms * std::exp(spread * spread / 2);
        return replay_kind{priority, load * slots * 1e3 / (3 * mean_ms), work_ms, spread,
                           ms(aim_ms)};
    };
    return {kind(0, 5, 0.5, 250), kind(1, 15, 0.7, 500), kind(2, 40, 0.7, 1'200)};
}

std::vector<replay_outcome> replay_yielding(const std::vector<replay_kind>& kinds,
                                            std::uint64_t seed)
{
    return replay(kinds, record_load(kinds, load_length, seed), slots, yielding_order{kinds});
}

keyed_order first_come()
{
    return keyed_order{[](const auto& it, auto) {
        return static_cast<double>(it.arrived.time_since_epoch().count());
    }};
}

waiting_request make_waiting(std::uint64_t number, time_point latest_start, yield_group group = {})
{
    waiting_request it;
    it.number = exchange_number{number};
    it.group = group;
    it.latest_start = latest_start;
    it.sequence = number;
    return it;
}

// Load: twice what the targets can do, three kinds of different urgency.
TEST(yield_order, under_twice_the_load_no_more_urgent_kind_is_served_less)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto outcomes = replay_yielding(three_kinds(2), seed);
        EXPECT_GE(outcomes[0].served_share(), outcomes[1].served_share()) << "seed " << seed;
        EXPECT_GE(outcomes[1].served_share(), outcomes[2].served_share()) << "seed " << seed;
    }
}

// Load: twice what the targets can do. The least urgent kind still gets a quarter of the share that
// all requests get.
TEST(yield_order, under_twice_the_load_the_least_urgent_kind_is_still_served)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto outcomes = replay_yielding(three_kinds(2), seed);
        int arrived = 0;
        int in_time = 0;
        for (const auto& it : outcomes) {
            arrived += it.arrived;
            in_time += it.in_time + it.returned_in_time;
        }
        const auto overall = static_cast<double>(in_time) / arrived;
        EXPECT_GT(outcomes[2].served_share(), overall / 4) << "seed " << seed;
    }
}

// Load: twice what the targets can do. Whoever waits can still be in time, and is.
TEST(yield_order, nobody_waits_for_what_cannot_be_in_time)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const auto& it : replay_yielding(three_kinds(2), seed)) {
            EXPECT_EQ(it.late, 0) << "seed " << seed;
        }
    }
    waiting_queue queue;
    queue.add(make_waiting(1, time_point{ms(100)}));
    EXPECT_EQ(queue.next_expiry(), time_point{ms(100)});
    EXPECT_TRUE(queue.take_refused(time_point{ms(99)}).empty());
    EXPECT_EQ(queue.take_refused(time_point{ms(100)}).size(), 1U);
    EXPECT_TRUE(queue.empty());
}

// Load: twice what the targets can do, works of one kind that differ by more than ten times.
TEST(yield_order, the_largest_tenth_of_a_kind_is_not_starved)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const auto& it : replay_yielding(three_kinds(2), seed)) {
            EXPECT_GE(it.large_share(), it.served_share() / 2) << "seed " << seed;
        }
    }
}

// Load: the usual one at 0.9 of what the targets can do, and one organisation that adds five times
// its usual tenth beyond its share.
TEST(yield_order, the_surge_of_one_organisation_costs_the_others_nothing)
{
    const auto usual = three_kinds(0.9);
    auto surging = usual;
    for (auto it : usual) {
        it.per_s *= 0.5;
        it.is_excess = true;
        surging.push_back(it);
    }
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto before = replay_yielding(usual, seed);
        const auto after = replay_yielding(surging, seed);
        for (std::size_t i = 0; i < usual.size(); ++i) {
            // Requests that run are not interrupted, which costs a few at their latest start.
            EXPECT_GE(after[i].share_in_time(), before[i].share_in_time() - 0.02)
                << "seed " << seed << " kind " << i;
        }
        EXPECT_GT(after[3].in_time, 0) << "what nobody else wants is served, seed " << seed;
    }
}

// Load: twice what the targets can do, callers that come back once after a refusal.
TEST(yield_order, a_caller_that_was_refused_comes_back_with_a_better_place)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto outcomes = replay_yielding(three_kinds(2), seed);
        for (const auto& it : outcomes) {
            // Few urgent requests are refused, and those are the large ones.
            if (it.returned > it.arrived / 10) {
                const auto share = static_cast<double>(it.returned_in_time) / it.returned;
                EXPECT_GE(share, it.share_in_time()) << "seed " << seed;
            }
        }
    }
    auto returned = make_waiting(2, time_point{ms(200)});
    returned.advance = ms(150);
    EXPECT_TRUE(is_ahead(returned, make_waiting(1, time_point{ms(100)})));
}

// Load: any; requests of one route that ask for the same.
TEST(yield_order, equal_requests_keep_their_order)
{
    waiting_queue queue;
    for (std::uint64_t n = 1; n <= 100; ++n) {
        queue.add(make_waiting(n, time_point{ms(100)}));
    }
    for (std::uint64_t n = 1; n <= 100; ++n) {
        const auto first = queue.first(yield_group{});
        ASSERT_EQ(first, exchange_number{n});
        queue.release(*first, time_point{});
    }
}

// Load: twice what the targets can do. The order costs no work that a plain queue would do.
TEST(yield_order, the_work_done_is_not_below_that_of_first_come)
{
    const auto total = [](const std::vector<replay_outcome>& all) {
        return std::accumulate(all.begin(), all.end(), 0.0,
                               [](double sum, const auto& it) { return sum + it.work_ms; });
    };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto kinds = three_kinds(2);
        const auto load = record_load(kinds, load_length, seed);
        const auto yielding = replay(kinds, load, slots, yielding_order{kinds});
        const auto first = replay(kinds, load, slots, first_come());
        // Both keep the slots busy to the end of the load; what waits then differs.
        EXPECT_GE(total(yielding), 0.98 * std::min(total(first), 15e3 * slots)) << "seed " << seed;
    }
}

// Load: more requests wait, or hold more memory, than the bounds allow. The last ones yield.
TEST(waiting_queue, requests_beyond_the_bounds_are_refused_from_the_end)
{
    waiting_queue queue;
    for (std::uint64_t n = 1; n <= waiting_queue::max_requests; ++n) {
        queue.add(make_waiting(n, time_point{ms(100)}, {false, 1, false}));
    }
    EXPECT_TRUE(queue.take_refused(time_point{}).empty());
    queue.add(make_waiting(1'000, time_point{ms(100)}, {false, 0, false}));
    const auto refused = queue.take_refused(time_point{});
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].number, exchange_number{waiting_queue::max_requests});

    waiting_queue large;
    auto it = make_waiting(1, time_point{ms(100)});
    it.bytes = waiting_queue::max_bytes;
    large.add(it);
    EXPECT_TRUE(large.take_refused(time_point{}).empty());
    it.number = exchange_number{2};
    it.sequence = 2;
    large.add(it);
    EXPECT_EQ(large.take_refused(time_point{}).size(), 1U);
    EXPECT_EQ(large.bytes(), waiting_queue::max_bytes);
}

// Load: room comes up every 10 ms for requests that have 100 ms.
TEST(waiting_queue, a_request_that_cannot_come_up_in_time_is_refused_at_once)
{
    waiting_queue queue;
    time_point now{};
    for (std::uint64_t n = 1; n <= 40; ++n) {
        queue.add(make_waiting(n, now + ms(1'000)));
    }
    for (std::uint64_t n = 1; n <= 20; ++n) {
        now += ms(10);
        queue.release(exchange_number{n}, now);
    }
    // Twenty wait, so it would come up in 200 ms.
    EXPECT_FALSE(queue.can_come_up(make_waiting(41, now + ms(190)), now));
    EXPECT_TRUE(queue.can_come_up(make_waiting(41, now + ms(210)), now));
    auto returned = make_waiting(41, now + ms(190));
    returned.advance = ms(20);
    EXPECT_TRUE(queue.can_come_up(returned, now));
    const auto later = now + ms(2'000); // The pace is not known any more.
    EXPECT_TRUE(queue.can_come_up(make_waiting(41, later + ms(190)), later));
}

/// Returns the least time of some runs in which a hundred requests are added and released while the
/// given number waits.
std::chrono::nanoseconds time_of_decisions(std::size_t waiting)
{
    waiting_queue queue;
    random_source random{waiting};
    std::uint64_t number = 0;
    const auto add = [&] {
        queue.add(make_waiting(
            ++number, time_point{ms(1e6 + static_cast<double>(random.below(1'000)))},
            {false, static_cast<std::uint32_t>(random.below(3)), random.below(10) == 0}));
    };
    while (queue.size() < waiting) {
        add();
    }
    auto least = std::chrono::nanoseconds::max();
    for (int run = 0; run < 20; ++run) {
        const auto start = std::chrono::steady_clock::now();
        for (int n = 0; n < 100; ++n) {
            add();
            const auto group = queue.groups(time_point{}).front();
            queue.release(*queue.first(group), time_point{});
        }
        least = std::min<std::chrono::nanoseconds>(least, std::chrono::steady_clock::now() - start);
    }
    return least;
}

// Load: 10,000 requests wait. A search through them would take a hundred times as long.
TEST(waiting_queue, the_cost_of_a_decision_hardly_grows_to_10000_requests)
{
    EXPECT_LT(time_of_decisions(10'000), 10 * time_of_decisions(100));
}

/// Prints the outcomes of one order, for docs/design/yielding.md.
void print(const char* name, const std::vector<replay_outcome>& outcomes)
{
    std::printf("%-28s", name);
    for (const auto& it : outcomes) {
        const auto share = [&](int n) { return static_cast<double>(n) / it.arrived; };
        std::printf(" | %.3f %.3f %.3f %.3f %.3f %.3f", it.share_in_time(), it.large_share(),
                    share(it.late), share(it.refused), share(it.refused_late),
                    share(it.returned_in_time));
    }
    std::printf("\n");
}

// Load: the same recorded one for each order, at twice and at 1.2 times what the targets can do.
// The order serves more urgent requests in time than first come, first served.
TEST(yield_order, serves_more_urgent_requests_in_time_than_other_orders_of_arrival)
{
    const auto arrived = [](const replay_job& it, time_point) {
        return static_cast<double>(it.arrived.time_since_epoch().count());
    };
    const auto deadline = [](const replay_job& it, time_point) {
        return static_cast<double>((it.arrived + it.objective).time_since_epoch().count());
    };
    const auto slack = [](const replay_job& it, time_point) {
        return static_cast<double>(it.latest_start().time_since_epoch().count());
    };
    const auto work = [](const replay_job& it, time_point) {
        return static_cast<double>(it.work.count());
    };
    for (const double load_factor : {2.0, 1.2}) {
        const auto kinds = three_kinds(load_factor);
        const auto aging = [&kinds](const replay_job& it, time_point now) {
            const auto weight = std::pow(0.5, kinds.at(it.kind).priority);
            return -weight * static_cast<double>((now - it.arrived).count() + 1'000) /
                   static_cast<double>(it.objective.count());
        };
        const auto load = record_load(kinds, load_length, 1);
        std::printf("load %.1f; by kind: in time, largest tenth in time, late, refused at once, "
                    "refused late\n",
                    load_factor);
        const auto run = [&](const char* name, auto order) {
            const auto outcomes = replay(kinds, load, slots, std::move(order));
            print(name, outcomes);
            return outcomes;
        };
        const auto first = run("first come", keyed_order{arrived});
        run("first come, refused late", keyed_order{arrived, duration{}});
        run("earliest deadline", keyed_order{deadline, duration{}});
        run("least slack", keyed_order{slack, duration{}});
        run("shortest work", keyed_order{work, duration{}});
        run("priority with aging", keyed_order{aging, duration{}});
        const auto yielding = run("yielding", yielding_order{kinds});
        EXPECT_GT(yielding[0].share_in_time(), first[0].share_in_time());
    }
}

} // namespace
} // namespace endivelatch
