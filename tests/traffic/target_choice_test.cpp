#include "router_fixture.hpp"

#include "endivelatch/base/hash.hpp"

#include <map>

namespace endivelatch {
namespace {

using std::chrono::seconds;

/// A pool of targets and the choice among them.
struct choice_fixture : testing::Test {
    choice_fixture()
    {
        std::vector<registered_target> all;
        for (int n = 1; n <= 8; ++n) {
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

    manual_clock clock;
    target_table table;
    prompt_info prompt;
    choice_query query;
};

TEST_F(choice_fixture, prompts_with_the_same_shared_part_go_to_one_home)
{
    query.prompt = &prompt;
    const auto home = choose().target->facts().id;
    for (std::uint64_t i = 0; i < 20; ++i) {
        prompt.parts.back().id = 100 + i;
        query.request_hash = i;
        EXPECT_EQ(choose().target->facts().id, home);
        EXPECT_TRUE(choose().is_home);
        EXPECT_EQ(choose().unread_tokens, 500U);
    }
}

TEST_F(choice_fixture, a_busy_home_spills_when_waiting_costs_more_than_reading_again)
{
    query.prompt = &prompt;
    auto* home = choose().target;
    const sent_request small{clock.now(), 0, 2'000};
    const sent_request large{clock.now(), 0, 8'000};
    home->sent(small);
    EXPECT_EQ(choose().target, home);
    home->sent(large);
    EXPECT_NE(choose().target, home);
    home->answered(small, clock.now());
    home->answered(large, clock.now());
    home->ended();
    home->ended();
    EXPECT_EQ(choose().target, home);
}

TEST_F(choice_fixture, a_load_heard_counts_own_requests_once)
{
    auto& busy = target(3);
    const auto reported_at = clock.now();
    busy.sent({reported_at - std::chrono::milliseconds{50}, 0, 100});
    clock.advance(std::chrono::milliseconds{300});
    busy.sent({clock.now(), 0, 100}); // Not among those that the target counted.
    busy.report(9, reported_at);
    EXPECT_NEAR(busy.others_in_flight(0, reported_at), 8, 0.01);
    busy.report(2, reported_at - std::chrono::milliseconds{1}); // Older.
    EXPECT_NEAR(busy.others_in_flight(0, reported_at), 8, 0.01);
}

TEST_F(choice_fixture, a_target_that_has_read_the_prompt_takes_the_next_spill)
{
    query.prompt = &prompt;
    choose().target->sent({clock.now(), 0, 30'000});
    auto* spill = choose().target;
    spill->remember(prompt.parts, clock.now());
    EXPECT_EQ(choose().target, spill);
    EXPECT_EQ(choose().unread_tokens, 0U);
    clock.advance(target_state::part_lifetime + seconds{1});
    EXPECT_EQ(choose().unread_tokens, 9'000U);
}

TEST_F(choice_fixture, a_spilled_prompt_is_fetched_from_its_home)
{
    query.prompt = &prompt;
    auto* home = choose().target;
    EXPECT_FALSE(choose().fetch_from);
    home->sent({clock.now(), 0, 20'000});
    const auto spilled = choose();
    ASSERT_NE(spilled.target, home);
    EXPECT_EQ(spilled.fetch_from, home->facts().address);
    spilled.target->remember(prompt.parts, clock.now());
    EXPECT_FALSE(choose().fetch_from);
}

TEST_F(choice_fixture, a_new_home_fetches_from_the_one_before_also_when_that_leaves)
{
    query.prompt = &prompt;
    auto* former = choose().target;
    std::vector<registered_target> all;
    for (int n = 1; n <= 60; ++n) {
        all.push_back(make_target(n));
        all.back().is_leaving = all.back().id == former->facts().id;
    }
    table.replace(all, clock.now());
    const auto chosen = choose();
    EXPECT_NE(chosen.target, former);
    EXPECT_EQ(chosen.fetch_from, former->facts().address);
}

TEST_F(choice_fixture, no_target_goes_far_above_the_mean)
{
    query.prompt = &prompt;
    std::map<target_id, std::uint32_t> counts;
    for (int i = 0; i < 160; ++i) {
        auto* chosen = choose().target;
        chosen->sent({clock.now(), 0, 0});
        ++counts[chosen->facts().id];
    }
    for (const auto& [id, n] : counts) {
        EXPECT_LE(n, 2 * 160 / 8 + 3) << id.str();
    }
}

TEST_F(choice_fixture, plain_requests_prefer_free_slots_and_the_own_domain)
{
    std::map<target_id, int> counts;
    for (std::uint64_t i = 0; i < 16; ++i) {
        query.request_hash = mix_bits(i);
        auto* chosen = choose().target;
        chosen->sent({clock.now(), 0, 0});
        ++counts[chosen->facts().id];
    }
    for (const auto& [id, n] : counts) {
        EXPECT_LE(n, 4) << id.str();
    }
    EXPECT_GE(counts.size(), 4U);
}

TEST_F(choice_fixture, a_target_that_keeps_failing_is_left_out_and_tried_again)
{
    for (std::uint32_t i = 0; i < target_state::ejecting_failures; ++i) {
        target(1).note(attempt_outcome::failed, clock.now());
    }
    EXPECT_TRUE(target(1).is_ejected(clock.now()));
    for (std::uint64_t i = 0; i < 50; ++i) {
        query.request_hash = mix_bits(i);
        EXPECT_NE(choose().target, &target(1));
    }
    clock.advance(target_state::shortest_ejection);
    EXPECT_FALSE(target(1).is_ejected(clock.now()));
}

TEST_F(choice_fixture, a_target_that_cannot_be_reached_is_left_out_at_once)
{
    target(1).note(attempt_outcome::unreachable, clock.now());
    EXPECT_TRUE(target(1).is_ejected(clock.now()));
    target(1).note(attempt_outcome::unreachable, clock.now()); // Began before; adds nothing.
    clock.advance(target_state::shortest_ejection);
    EXPECT_FALSE(target(1).is_ejected(clock.now()));
    target(1).note(attempt_outcome::unreachable, clock.now());
    clock.advance(target_state::shortest_ejection);
    EXPECT_TRUE(target(1).is_ejected(clock.now()));
}

TEST_F(choice_fixture, a_new_start_of_a_target_forgets_what_was_learned)
{
    target(1).sent({clock.now(), 0, 100});
    target(1).remember(prompt.parts, clock.now());
    auto again = target(1).facts();
    again.started = incarnation{5};
    std::vector<registered_target> all{again};
    table.replace(all, clock.now());
    EXPECT_EQ(target(1).own_in_flight(), 0U);
    EXPECT_EQ(target(1).cached_tokens(prompt.parts, clock.now()), 0U);
    EXPECT_EQ(table.size(), 1U);
}

TEST_F(choice_fixture, the_wait_is_what_requests_as_urgent_wait_or_have_waited)
{
    using std::chrono::milliseconds;
    const sent_request urgent{clock.now(), 0, 0};
    const sent_request later{clock.now(), 5, 0};
    target(1).sent(urgent);
    target(1).sent(later);
    clock.advance(milliseconds{100});
    EXPECT_EQ(target(1).expected_wait(0, clock.now()), milliseconds{100});
    target(1).answered(urgent, clock.now());
    clock.advance(milliseconds{400});
    EXPECT_EQ(target(1).expected_wait(9, clock.now()), milliseconds{500});
    EXPECT_LT(target(1).expected_wait(0, clock.now()), milliseconds{100});
    target(1).unanswered(later);
    clock.advance(target_state::wait_lifetime);
    EXPECT_EQ(target(1).expected_wait(9, clock.now()), duration{});
}

TEST_F(choice_fixture, a_request_that_all_targets_would_keep_waiting_is_refused_at_once)
{
    query.prompt = &prompt;
    for (int n = 1; n <= 8; ++n) {
        target(n).sent({clock.now(), 0, 0});
    }
    clock.advance(std::chrono::milliseconds{550});
    query.priority = 0;
    EXPECT_TRUE(std::holds_alternative<chosen_target>(choose_target(query, table, clock.now())));
    query.priority = 2; // The less urgent yield first.
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_late);
    clock.advance(std::chrono::milliseconds{100});
    query.priority = 0;
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_late);
}

TEST_F(choice_fixture, says_why_there_is_no_target)
{
    query.pool = pool_id{"other"};
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::none_registered);
    query.pool = pool_id{"pool"};
    std::set<target_id> tried;
    for (int n = 1; n <= 8; ++n) {
        tried.insert(target(n).facts().id);
    }
    query.tried = &tried;
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_tried);
    query.tried = nullptr;
    for (int n = 1; n <= 8; ++n) {
        target(n).note(attempt_outcome::refused, clock.now());
    }
    EXPECT_EQ(std::get<no_target_reason>(choose_target(query, table, clock.now())),
              no_target_reason::all_full);
}

} // namespace
} // namespace endivelatch
