#include "router_fixture.hpp"

#include "endivelatch/base/hash.hpp"

#include <map>

namespace endivelatch {
namespace {

using std::chrono::seconds;

/// A pool of eight targets in two failure domains, with a query to select one.
struct choice_fixture : testing::Test {
    choice_fixture()
    {
        std::vector<registered_target> all;
        for (int n = 1; n <= target_count; ++n) {
            all.push_back(make_target(n));
            all.back().domain = domain_id{n % 2 == 0 ? "even" : "odd"};
        }
        table.replace(all, clock.now());
        clock.advance(seconds{10});
        prompt.tokens = 9'000;
        prompt.parts = {{1, 2'500}, {2, 6'000}, {3, 500}};
        query.pool = pool_id{"pool"};
        query.domain = domain_id{"odd"};
        query.objective = std::chrono::milliseconds{500};
    }

    chosen_target choose() const
    {
        return std::get<chosen_target>(choose_target(query, table, clock.now()));
    }

    target_state& target(int n) { return *table.find(target_id{"t" + std::to_string(n)}); }

    /// Lets a target state a limit of zero and sends it what may be sent at once.
    void use_up_limit(int n)
    {
        auto& it = target(n);
        it.set_limit(request_rate{0}, clock.now(), {}, {}, clock.now());
        while (!it.obstacle(clock.now())) {
            const sent_request sent{clock.now(), 0, 0};
            it.add_request(sent);
            it.record_no_answer(sent);
            it.remove_request();
        }
    }

    static constexpr int target_count = 8;

    manual_clock clock;
    target_table table;
    prompt_info prompt;
    choice_query query;
};

TEST_F(choice_fixture, prompts_with_the_same_shared_part_go_to_one_home)
{
    query.prompt = &prompt;
    const auto home = choose().target->registration().id;
    for (std::uint64_t i = 0; i < 20; ++i) {
        prompt.parts.back().id = 100 + i;
        query.request_hash = i;
        EXPECT_EQ(choose().target->registration().id, home);
        EXPECT_TRUE(choose().is_home);
        EXPECT_EQ(choose().prefill_tokens, 500U);
    }
}

TEST_F(choice_fixture, a_busy_home_spills_over_when_waiting_costs_more_than_prefilling_again)
{
    query.prompt = &prompt;
    auto* home = choose().target;
    const sent_request small{clock.now(), 0, 2'000};
    const sent_request large{clock.now(), 0, 8'000};
    home->add_request(small);
    EXPECT_EQ(choose().target, home);
    home->add_request(large);
    EXPECT_NE(choose().target, home);
    home->record_first_byte(small, query.work.prefill_tokens_per_ms(), clock.now());
    home->record_first_byte(large, query.work.prefill_tokens_per_ms(), clock.now());
    home->remove_request();
    home->remove_request();
    EXPECT_EQ(choose().target, home);
}

TEST_F(choice_fixture, the_mean_comes_from_load_reports_if_there_are_any)
{
    query.routers = 300;
    target(1).add_request({clock.now(), 0, 100}); // Extrapolated to one at each router.
    query.prompt = &prompt;
    const auto extrapolated = choose().mean_in_flight;
    for (int n = 1; n <= target_count; ++n) {
        target(n).update_load(2, clock.now());
    }
    EXPECT_GT(extrapolated, 30);
    EXPECT_LT(choose().mean_in_flight, 3);
}

TEST_F(choice_fixture, a_received_load_counts_own_requests_once)
{
    auto& busy = target(3);
    const auto reported_at = clock.now();
    busy.add_request({reported_at - std::chrono::milliseconds{50}, 0, 100});
    clock.advance(std::chrono::milliseconds{300});
    busy.add_request({clock.now(), 0, 100}); // Sent after the report, so not included in it.
    busy.update_load(9, reported_at);
    EXPECT_NEAR(busy.others_in_flight(0, reported_at), 8, 0.01);
    busy.update_load(2, reported_at - std::chrono::milliseconds{1}); // Outdated.
    EXPECT_NEAR(busy.others_in_flight(0, reported_at), 8, 0.01);
}

TEST_F(choice_fixture, a_target_with_the_prompt_cached_takes_the_next_spillover)
{
    query.prompt = &prompt;
    choose().target->add_request({clock.now(), 0, 30'000});
    auto* spillover = choose().target;
    spillover->record_prompt(prompt.parts, clock.now());
    EXPECT_EQ(choose().target, spillover);
    EXPECT_EQ(choose().prefill_tokens, 0U);
    clock.advance(target_state::part_lifetime + seconds{1});
    EXPECT_EQ(choose().prefill_tokens, 9'000U);
}

/// Returns what is known after reports of a target that is slow for 0.3 of the time, 500 ms each.
machine_speed learn_speeds()
{
    machine_speed speed;
    constexpr int reports = 1'000;
    const auto slowdown_at = [](int n) { return n / 5 % 3 == 0 ? 2.5 : 1; };
    for (int n = 0; n < reports; ++n) {
        const auto at = time_point{} + std::chrono::milliseconds{n * 100};
        speed.record({slowdown_at(n), at},
                     {slowdown_at(n + 1), at + std::chrono::milliseconds{100}});
    }
    return speed;
}

TEST_F(choice_fixture, an_engine_that_is_slow_now_takes_no_spillover)
{
    query.prompt = &prompt;
    query.speed = learn_speeds();
    choose().target->add_request({clock.now(), 0, 30'000});
    auto* spillover = choose().target;
    spillover->update_load(0, clock.now(), 2.5);
    EXPECT_NE(choose().target, spillover);
    EXPECT_LT(choose().slowdown, 2);
    clock.advance(seconds{4}); // The report says nothing any more.
    EXPECT_EQ(choose().target, spillover);
    query.speed = {};
    spillover->update_load(0, clock.now());
    const auto unknown = choose();
    EXPECT_EQ(unknown.target, spillover);
    EXPECT_EQ(unknown.slowdown, 1);
}

TEST_F(choice_fixture, a_plain_service_takes_the_faster_of_two_targets)
{
    query.speed = learn_speeds();
    auto& first = *choose().target;
    first.update_load(0, clock.now(), 2.5);
    const auto second = choose();
    EXPECT_NE(second.target, &first);
    EXPECT_LT(second.slowdown, 2);
    // Both are slow: no third target takes what all routers would send to it.
    second.target->update_load(0, clock.now(), 2.5);
    EXPECT_GT(choose().slowdown, 2);
}

TEST_F(choice_fixture, targets_that_are_always_equally_fast_are_chosen_as_without_figures)
{
    std::vector<target_id> expected;
    for (query.request_hash = 0; query.request_hash < 50; ++query.request_hash) {
        expected.push_back(choose().target->registration().id);
    }
    for (int n = 0; n < 50; ++n) {
        const auto at = time_point{} + std::chrono::milliseconds{n * 100};
        query.speed.record({1, at}, {1, at + std::chrono::milliseconds{100}});
    }
    for (int n = 1; n <= target_count; ++n) {
        target(n).update_load(0, clock.now(), 1);
    }
    for (query.request_hash = 0; query.request_hash < 50; ++query.request_hash) {
        EXPECT_EQ(choose().target->registration().id, expected.at(query.request_hash));
    }
}

TEST_F(choice_fixture, a_prompt_that_spills_over_is_fetched_from_its_home)
{
    query.prompt = &prompt;
    auto* home = choose().target;
    EXPECT_FALSE(choose().fetch_from);
    home->add_request({clock.now(), 0, 20'000});
    const auto spilled_over = choose();
    ASSERT_NE(spilled_over.target, home);
    EXPECT_EQ(spilled_over.fetch_from, home->registration().address);
    spilled_over.target->record_prompt(prompt.parts, clock.now());
    EXPECT_FALSE(choose().fetch_from);
}

TEST_F(choice_fixture, a_new_home_fetches_from_the_previous_one_even_if_that_is_leaving)
{
    query.prompt = &prompt;
    auto* former = choose().target;
    std::vector<registered_target> all;
    for (int n = 1; n <= 60; ++n) {
        all.push_back(make_target(n));
        all.back().is_leaving = all.back().id == former->registration().id;
    }
    table.replace(all, clock.now());
    const auto chosen = choose();
    EXPECT_NE(chosen.target, former);
    EXPECT_EQ(chosen.fetch_from, former->registration().address);
}

/// Routers with different loads of their own have to agree on the target that takes the place of a
/// lost home. Otherwise each of them makes another target prefill the same shared parts.
TEST_F(choice_fixture, prompts_of_a_lost_home_go_to_the_same_target_at_all_routers)
{
    query.prompt = &prompt;
    auto* home = choose().target;
    home->record_outcome(attempt_outcome::unreachable, clock.now());
    auto* replacement = choose().target;
    ASSERT_NE(replacement, home);
    replacement->add_request({clock.now(), 0, 0});
    EXPECT_EQ(choose().target, replacement);
    EXPECT_FALSE(choose().is_home);
    replacement->record_outcome(attempt_outcome::unreachable, clock.now());
    EXPECT_NE(choose().target, replacement);
}

/// The expected time of a large prompt is above `on_time_share` everywhere. It must not leave its
/// home for a target that costs a little less but has to prefill the shared parts.
TEST_F(choice_fixture, a_large_prompt_stays_at_its_home_although_another_target_costs_less)
{
    prompt.tokens = 13'500;
    prompt.parts = {{1, 500}, {2, 1'000}, {3, 12'000}};
    query.prompt = &prompt;
    auto* home = choose().target;
    home->add_request({clock.now(), 0, 2'000}); // 350 ms at home, 338 to 342 ms elsewhere.
    EXPECT_EQ(choose().target, home);
    home->add_request({clock.now(), 0, 3'000}); // Above `tight_share`.
    EXPECT_NE(choose().target, home);
}

TEST_F(choice_fixture, targets_that_joined_recently_are_no_source_of_cached_parts)
{
    query.prompt = &prompt;
    auto* home = choose().target;
    home->add_request({clock.now(), 0, 20'000}); // Spills over.
    auto again = home->registration();
    again.started = incarnation{5};
    std::vector<registered_target> all{again};
    for (int n = 1; n <= target_count; ++n) {
        if (&target(n) != home) {
            all.push_back(target(n).registration());
        }
    }
    table.replace(all, clock.now()); // The home restarts with an empty cache.
    auto& restarted = *table.find(again.id);
    restarted.add_request({clock.now(), 0, 20'000});
    const auto spilled_over = choose();
    ASSERT_NE(spilled_over.target, &restarted);
    EXPECT_NE(spilled_over.fetch_from, restarted.registration().address);
    clock.advance(warm_up_time);
    EXPECT_EQ(choose().fetch_from, restarted.registration().address);
}

TEST_F(choice_fixture, a_target_that_failed_several_other_routers_is_left_out)
{
    query.prompt = &prompt;
    auto* home = choose().target;
    home->record_remote_failure(router_key{1}, clock.now());
    EXPECT_EQ(choose().target, home); // One router may be cut off itself.
    home->record_remote_failure(router_key{1}, clock.now());
    EXPECT_EQ(choose().target, home);
    home->record_remote_failure(router_key{2}, clock.now());
    EXPECT_NE(choose().target, home);
    clock.advance(target_state::suspicion_time + target_state::trial_time);
    EXPECT_EQ(choose().target, home);
}

/// Reports about the former incarnation still circulate when a target with the same id restarts.
TEST_F(choice_fixture, failures_before_a_restart_do_not_count)
{
    auto& restarted = target(1);
    const auto failed_at = clock.now();
    clock.advance(std::chrono::milliseconds{500});
    auto again = restarted.registration();
    again.started = incarnation{5};
    table.replace({again}, clock.now());
    restarted.record_remote_failure(router_key{1}, failed_at);
    restarted.record_remote_failure(router_key{2}, failed_at);
    EXPECT_EQ(restarted.suspicion(clock.now()), 0);
}

TEST_F(choice_fixture, a_suspected_target_is_tried_again_by_few_requests)
{
    auto& lost = target(1);
    lost.record_remote_failure(router_key{1}, clock.now());
    lost.record_remote_failure(router_key{2}, clock.now());
    clock.advance(target_state::suspicion_time + target_state::trial_time / 4);
    EXPECT_NEAR(lost.suspicion(clock.now()), 1 - 1.0 / 16, 1e-9);
    // The trial fails: its report alone renews the suspicion.
    lost.record_remote_failure(router_key{3}, clock.now());
    EXPECT_EQ(lost.suspicion(clock.now()), 1);
}

TEST_F(choice_fixture, a_load_report_ends_the_suspicion_of_a_target)
{
    query.prompt = &prompt;
    auto* home = choose().target;
    home->record_remote_failure(router_key{1}, clock.now());
    home->record_remote_failure(router_key{2}, clock.now());
    home->update_load(0, clock.now()); // Possibly from before the failures.
    EXPECT_EQ(home->suspicion(clock.now()), 1);
    clock.advance(target_state::report_time_error * 2);
    home->update_load(0, clock.now());
    EXPECT_EQ(home->suspicion(clock.now()), 0);
    EXPECT_EQ(choose().target, home);
}

TEST_F(choice_fixture, suspicions_of_most_targets_are_ignored)
{
    query.prompt = &prompt;
    auto* home = choose().target;
    for (int n = 1; n <= target_count; ++n) {
        target(n).record_remote_failure(router_key{1}, clock.now());
        target(n).record_remote_failure(router_key{2}, clock.now());
    }
    EXPECT_EQ(choose().target, home);
}

TEST_F(choice_fixture, no_target_exceeds_twice_the_mean_load)
{
    query.prompt = &prompt;
    std::map<target_id, std::uint32_t> counts;
    for (int i = 0; i < 160; ++i) {
        auto* chosen = choose().target;
        chosen->add_request({clock.now(), 0, 0});
        ++counts[chosen->registration().id];
    }
    for (const auto& [id, n] : counts) {
        EXPECT_LE(n, 2 * 160 / 8 + 3) << id.str();
    }
}

// Limited targets hold less than their part. A bound relative to the mean of all sent prompts back
// and forth between the others, which prefilled them again.
TEST_F(choice_fixture, targets_without_a_limit_take_what_limited_ones_cannot)
{
    query.prompt = &prompt;
    for (int n = 1; n <= target_count - 2; ++n) {
        use_up_limit(n);
    }
    std::map<target_id, int> counts;
    for (int i = 0; i < 40; ++i) {
        prompt.parts[1].id = 100 + static_cast<std::uint64_t>(i % 10);
        const auto result = choose_target(query, table, clock.now());
        ASSERT_TRUE(std::holds_alternative<chosen_target>(result));
        auto* chosen = std::get<chosen_target>(result).target;
        chosen->add_request({clock.now(), 0, 0});
        chosen->record_prompt(prompt.parts, clock.now());
        ++counts[chosen->registration().id];
    }
    EXPECT_EQ(counts.size(), 2U);
    EXPECT_DOUBLE_EQ(choose().mean_in_flight, 20);
}

TEST_F(choice_fixture, reports_that_all_targets_decline)
{
    for (int n = 1; n <= target_count; ++n) {
        use_up_limit(n);
    }
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_decline);
}

TEST_F(choice_fixture, plain_requests_are_spread_over_free_slots)
{
    std::map<target_id, int> counts;
    for (std::uint64_t i = 0; i < 16; ++i) {
        query.request_hash = mix_bits(i);
        auto* chosen = choose().target;
        chosen->add_request({clock.now(), 0, 0});
        ++counts[chosen->registration().id];
    }
    for (const auto& [id, n] : counts) {
        EXPECT_LE(n, 4) << id.str();
    }
    EXPECT_GE(counts.size(), 4U);
}

// Load: targets of a plain service are reported to hold `n` requests each.
TEST_F(choice_fixture, a_request_that_can_wait_is_not_sent_to_targets_that_are_too_busy)
{
    const auto is_busy = [&](std::uint32_t n) {
        for (int i = 1; i <= target_count; ++i) {
            target(i).update_load(n, clock.now());
        }
        const auto result = choose_target(query, table, clock.now());
        const auto* reason = std::get_if<no_target_reason>(&result);
        EXPECT_TRUE(reason == nullptr || *reason == no_target_reason::all_busy);
        clock.advance(std::chrono::milliseconds{1});
        return reason != nullptr;
    };
    // Six slots of 15 ms each answer 100 requests in half of the objective of 500 ms.
    EXPECT_FALSE(is_busy(150));
    query.may_wait = true;
    EXPECT_FALSE(is_busy(99));
    EXPECT_TRUE(is_busy(101));
    query.reserved_share = 0.2;
    EXPECT_TRUE(is_busy(99));
    EXPECT_FALSE(is_busy(79));
    query.objective = {}; // What fits into the slots and as many again is always sent.
    query.reserved_share = 0;
    EXPECT_FALSE(is_busy(11));
    EXPECT_TRUE(is_busy(12));
    // An old report does not hold requests back.
    EXPECT_TRUE(is_busy(20));
    clock.advance(max_held_report_age);
    EXPECT_TRUE(std::holds_alternative<chosen_target>(choose_target(query, table, clock.now())));
}

TEST_F(choice_fixture, requests_wait_for_busy_targets_rather_than_go_to_ejected_ones)
{
    for (int i = 2; i <= target_count; ++i) {
        target(i).update_load(200, clock.now());
    }
    target(1).record_outcome(attempt_outcome::unreachable, clock.now());
    query.may_wait = true;
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_busy);
}

TEST_F(choice_fixture, a_repeatedly_failing_target_is_ejected_for_a_time)
{
    for (std::uint32_t i = 0; i < target_state::ejection_threshold; ++i) {
        target(1).record_outcome(attempt_outcome::failed, clock.now());
    }
    EXPECT_TRUE(target(1).is_ejected(clock.now()));
    for (std::uint64_t i = 0; i < 50; ++i) {
        query.request_hash = mix_bits(i);
        EXPECT_NE(choose().target, &target(1));
    }
    clock.advance(target_state::base_ejection_time);
    EXPECT_FALSE(target(1).is_ejected(clock.now()));
}

TEST_F(choice_fixture, an_unreachable_target_is_ejected_at_once)
{
    target(1).record_outcome(attempt_outcome::unreachable, clock.now());
    EXPECT_TRUE(target(1).is_ejected(clock.now()));
    // From an attempt that started before the ejection, so the ejection is not extended.
    target(1).record_outcome(attempt_outcome::unreachable, clock.now());
    clock.advance(target_state::base_ejection_time);
    EXPECT_FALSE(target(1).is_ejected(clock.now()));
    target(1).record_outcome(attempt_outcome::unreachable, clock.now());
    clock.advance(target_state::base_ejection_time);
    EXPECT_TRUE(target(1).is_ejected(clock.now()));
}

TEST_F(choice_fixture, a_restart_of_a_target_resets_its_state)
{
    target(1).add_request({clock.now(), 0, 100});
    target(1).record_prompt(prompt.parts, clock.now());
    auto again = target(1).registration();
    again.started = incarnation{5};
    std::vector<registered_target> all{again};
    table.replace(all, clock.now());
    EXPECT_EQ(target(1).own_in_flight(), 0U);
    EXPECT_EQ(target(1).cached_tokens(prompt.parts, clock.now()), 0U);
    EXPECT_EQ(table.size(), 1U);
}

TEST_F(choice_fixture, the_expected_wait_follows_requests_of_the_same_or_higher_priority)
{
    using std::chrono::milliseconds;
    const sent_request urgent{clock.now(), 0, 0};
    const sent_request later{clock.now(), 5, 0};
    target(1).add_request(urgent);
    target(1).add_request(later);
    clock.advance(milliseconds{100});
    EXPECT_EQ(target(1).expected_wait(0, clock.now()), milliseconds{100});
    target(1).record_first_byte(urgent, query.work.prefill_tokens_per_ms(), clock.now());
    clock.advance(milliseconds{400});
    EXPECT_EQ(target(1).expected_wait(9, clock.now()), milliseconds{500});
    EXPECT_LT(target(1).expected_wait(0, clock.now()), milliseconds{100});
    target(1).record_no_answer(later);
    clock.advance(target_state::wait_lifetime);
    EXPECT_EQ(target(1).expected_wait(9, clock.now()), duration{});
}

TEST_F(choice_fixture, a_request_is_refused_when_the_expected_wait_is_too_long_at_all_targets)
{
    query.prompt = &prompt;
    for (int n = 1; n <= 8; ++n) {
        target(n).add_request({clock.now(), 0, 0});
    }
    clock.advance(std::chrono::milliseconds{550});
    query.priority = 0;
    EXPECT_TRUE(std::holds_alternative<chosen_target>(choose_target(query, table, clock.now())));
    query.priority = 2; // Less urgent requests are refused first.
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_late);
    clock.advance(std::chrono::milliseconds{100});
    query.priority = 0;
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_late);
}

TEST_F(choice_fixture, reports_why_no_target_is_available)
{
    query.pool = pool_id{"other"};
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::none_registered);
    query.pool = pool_id{"pool"};
    std::set<target_id> tried;
    for (int n = 1; n <= 8; ++n) {
        tried.insert(target(n).registration().id);
    }
    query.tried = &tried;
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_tried);
    query.tried = nullptr;
    for (int n = 1; n <= 8; ++n) {
        target(n).record_outcome(attempt_outcome::refused, clock.now());
    }
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_full);
}

} // namespace
} // namespace endivelatch
