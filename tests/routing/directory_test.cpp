#include "endivelatch/routing/cache_transfer.hpp"
#include "endivelatch/routing/route.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>

namespace endivelatch {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const pool_id pool{"draft"};
const time_point start{minutes{60}};

target_document make_target(std::uint32_t n, bool draining = false)
{
    target_document it;
    it.id = target_id{"t" + std::to_string(n)};
    it.pool = pool;
    it.draining = draining;
    return it;
}

target_directory make_directory(std::uint32_t targets)
{
    target_directory out;
    for (std::uint32_t it = 0; it < targets; ++it) {
        out.set_target(make_target(it));
        out.target_up(make_target(it).id, incarnation{1}, start);
    }
    return out;
}

route_request make_request(std::uint64_t chat)
{
    route_request it;
    it.pool = pool;
    it.organisation = organisation_id{"fbn"};
    it.chat = chat_id{std::to_string(chat)};
    it.prefix_hash = chat;
    return it;
}

route_request warm_request(std::uint64_t chat, const target_id& target, std::uint64_t run = 1)
{
    auto it = make_request(chat);
    it.hint = warm_hint{it.organisation, it.chat, target, incarnation{run}, {}, 40'000};
    return it;
}

TEST(route_choice, prefers_the_warm_target_and_waits_for_it)
{
    const auto directory = make_directory(8);
    const auto choice = choose_targets(directory, warm_request(1, target_id{"t5"}), {});
    EXPECT_EQ(choice.reason, route_reason::warm);
    EXPECT_EQ(choice.candidates.front(), target_id{"t5"});
    EXPECT_EQ(choice.candidates.size(), 5U);
    EXPECT_EQ(choice.warm_wait, route_settings{}.max_warm_wait);
}

TEST(route_choice, ignores_stale_hints)
{
    auto directory = make_directory(8);
    const auto is_warm = [&](const route_request& request) {
        return choose_targets(directory, request, {}).reason == route_reason::warm;
    };
    const target_id target{"t5"};
    EXPECT_FALSE(is_warm(warm_request(1, target_id{"unknown"})));
    EXPECT_FALSE(is_warm(warm_request(1, target, 2)));
    auto other_pool = warm_request(1, target);
    other_pool.pool = pool_id{"other"};
    EXPECT_TRUE(choose_targets(directory, other_pool, {}).candidates.empty());
    directory.cache_evicted(target, incarnation{1}, 1);
    directory.cache_evicted(target, incarnation{9}, 2);
    EXPECT_FALSE(is_warm(warm_request(1, target)));
    EXPECT_TRUE(is_warm(warm_request(2, target)));
    directory.cache_gap(target);
    EXPECT_FALSE(is_warm(warm_request(1, target)));
    directory.cache_filled(target, incarnation{1}, 1);
    EXPECT_TRUE(is_warm(warm_request(1, target)));
    directory.target_up(target, incarnation{2}, start);
    EXPECT_FALSE(is_warm(warm_request(1, target)));
}

TEST(route_choice, prefers_the_least_loaded_only_when_the_caller_returns_hints)
{
    auto directory = make_directory(20);
    auto request = make_request(7);
    const auto by_hash = choose_targets(directory, request, {});
    EXPECT_EQ(by_hash.reason, route_reason::primary);
    directory.set_load(by_hash.candidates.front(), 50, start);
    EXPECT_EQ(choose_targets(directory, request, {}).candidates, by_hash.candidates);
    request.keeps_hints = true;
    const auto by_load = choose_targets(directory, request, {});
    EXPECT_EQ(by_load.reason, route_reason::least_loaded);
    EXPECT_EQ(by_load.candidates.back(), by_hash.candidates.front());
}

TEST(route_choice, moves_only_the_chats_of_a_lost_target_and_returns_them)
{
    constexpr std::uint32_t targets = 20;
    constexpr std::uint64_t chats = 4000;
    auto directory = make_directory(targets);
    const auto first_of = [&](std::uint64_t chat) {
        return choose_targets(directory, make_request(chat), {}).candidates.front();
    };
    std::map<std::uint64_t, target_id> before;
    for (std::uint64_t it = 0; it < chats; ++it) {
        before[it] = first_of(it);
    }
    directory.target_down(target_id{"t3"}, start);
    std::uint64_t moved = 0;
    for (std::uint64_t it = 0; it < chats; ++it) {
        const bool was_there = before[it] == target_id{"t3"};
        moved += was_there ? 1 : 0;
        EXPECT_EQ(first_of(it) == before[it], !was_there);
    }
    EXPECT_LT(moved, chats / targets * 3 / 2);
    directory.target_up(target_id{"t3"}, incarnation{2}, start);
    for (std::uint64_t it = 0; it < chats; ++it) {
        EXPECT_EQ(first_of(it), before[it]);
    }
}

TEST(route_choice, examines_no_more_targets_in_larger_pools)
{
    constexpr std::uint64_t requests = 2000;
    std::map<std::uint32_t, double> examined;
    for (const std::uint32_t targets : {100U, 1000U, 5300U}) {
        const auto directory = make_directory(targets);
        std::uint64_t total = 0;
        for (std::uint64_t it = 0; it < requests; ++it) {
            total += choose_targets(directory, make_request(it), {}).examined;
        }
        examined[targets] = static_cast<double>(total) / requests;
    }
    EXPECT_LE(examined[1000], examined[100] * 1.05);
    EXPECT_LE(examined[5300], examined[100] * 1.05);
}

TEST(cache_transfer, routes_the_chats_of_a_stopped_target_to_their_transferred_prefixes)
{
    constexpr std::uint32_t tokens = 1000;
    constexpr std::uint64_t chats = 50;
    auto directory = make_directory(8);
    const target_id leaving{"t5"};
    directory.set_target(make_target(5, true));
    std::vector<cached_prefix> prefixes;
    for (std::uint64_t it = 0; it < chats; ++it) {
        const auto request = make_request(it);
        prefixes.push_back({chat_prefix_hash(request.organisation, request.chat), tokens});
    }
    const auto plan = plan_transfers(directory, pool, prefixes, tokens * (chats - 10));
    ASSERT_EQ(plan.size(), chats - 10);
    EXPECT_NE(choose_targets(directory, warm_request(0, leaving), {}).reason, route_reason::warm);
    directory.cache_transferred(leaving, incarnation{1});
    directory.target_down(leaving, start);
    for (std::uint64_t it = 0; it < plan.size(); ++it) {
        const auto choice = choose_targets(directory, warm_request(it, leaving), {});
        EXPECT_EQ(choice.reason, route_reason::warm);
        EXPECT_EQ(choice.candidates.front(), plan[it].destination);
        EXPECT_NE(choice.candidates.front(), leaving);
        EXPECT_EQ(plan[it].prefix_hash, prefixes[it].prefix_hash);
    }
    EXPECT_NE(choose_targets(directory, warm_request(1, leaving, 2), {}).reason,
              route_reason::warm);
}

TEST(target_directory, back_off_of_a_flapping_target_doubles)
{
    const directory_settings settings;
    auto directory = make_directory(3);
    const target_id target{"t1"};
    auto now = start;
    for (std::uint64_t run = 2; run <= 2 + settings.flaps_allowed; ++run) {
        EXPECT_TRUE(directory.find(target)->takes_work());
        now += seconds{10};
        directory.target_down(target, now);
        directory.target_up(target, incarnation{run}, now);
    }
    EXPECT_EQ(directory.find(target)->status, target_status::backing_off);
    EXPECT_EQ(directory.serving_targets(pool), 2U);
    EXPECT_EQ(directory.next_expiry(), now + settings.initial_back_off);
    directory.target_down(target, now);
    directory.target_up(target, incarnation{9}, now);
    EXPECT_EQ(directory.next_expiry(), now + settings.initial_back_off * 2);
    directory.expire(now + settings.initial_back_off * 2);
    EXPECT_TRUE(directory.find(target)->takes_work());
}

RC_GTEST_PROP(directory_fuzz, totals_and_choices_follow_the_targets_that_work, ())
{
    constexpr std::uint32_t targets = 6;
    target_directory tested;
    auto now = start;
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        const auto n = *rc::gen::inRange(0U, targets);
        const auto id = make_target(n).id;
        now += seconds{*rc::gen::inRange(0, 40)};
        const auto run = incarnation{*rc::gen::inRange<std::uint64_t>(1, 6)};
        switch (*rc::gen::inRange(0, 7)) {
        case 0:
            tested.set_target(make_target(n, *rc::gen::arbitrary<bool>()));
            break;
        case 1:
            tested.remove_target(id);
            break;
        case 2:
            tested.target_down(id, now);
            break;
        case 3:
            tested.set_load(id, *rc::gen::inRange(0U, 30U), now);
            break;
        case 4:
            tested.expire(now);
            break;
        default:
            tested.target_up(id, run, now);
        }
        std::uint64_t total = 0;
        std::uint32_t serving_count = 0;
        for (std::uint32_t it = 0; it < targets; ++it) {
            const auto* state = tested.find(make_target(it).id);
            const bool is_serving = state != nullptr && state->takes_work();
            const bool may_serve = state != nullptr && state->up && !state->draining;
            RC_ASSERT(may_serve || !is_serving);
            total += is_serving ? state->in_flight : 0;
            serving_count += is_serving ? 1 : 0;
        }
        RC_ASSERT(tested.total_load(pool) == total);
        RC_ASSERT(tested.serving_targets(pool) == serving_count);
        const auto request = warm_request(static_cast<std::uint64_t>(step), id, run.value());
        const auto choice = choose_targets(tested, request, {});
        RC_ASSERT(choice.candidates.empty() == (serving_count == 0));
        for (const auto& it : choice.candidates) {
            RC_ASSERT(tested.find(it)->takes_work());
        }
    }
}

} // namespace
} // namespace endivelatch
