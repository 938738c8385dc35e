#include "router_fixture.hpp"

#include "endivelatch/base/hash.hpp"

#include <map>
#include <set>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the targets `t1` to `t<count>`, those with an odd number in the domain `odd`.
std::vector<registered_target> targets_in_two_domains(int count)
{
    std::vector<registered_target> all;
    for (int n = 1; n <= count; ++n) {
        all.push_back(make_target(n));
        all.back().domain = domain_id{n % 2 == 0 ? "even" : "odd"};
    }
    return all;
}

const std::set<domain_id> odd_domain{domain_id{"odd"}};
const std::set<domain_id> both_domains{domain_id{"even"}, domain_id{"odd"}};

struct evacuation_fixture : router_fixture {
    evacuation_fixture() { dispatch(targets_changed{targets}); }

    /// Returns whether the attempt started by the last event goes to the domain `odd`.
    bool goes_to_odd() const
    {
        const auto* attempt = find<start_attempt>();
        return attempt != nullptr && (attempt->address.address.back() - '0') % 2 == 1;
    }

    std::vector<registered_target> targets = targets_in_two_domains(6);
};

TEST_F(evacuation_fixture, an_evacuated_domain_gets_no_request)
{
    dispatch(evacuations_changed{odd_domain});
    for (int n = 0; n < 100; ++n) {
        clock.advance(milliseconds{20});
        arrive(n % 2 == 0 ? "safe" : "unsafe");
        ASSERT_NE(find<start_attempt>(), nullptr);
        EXPECT_FALSE(goes_to_odd());
        const auto key = started();
        dispatch(answer_begun{key, success()});
        dispatch(answer_finished{key});
    }
}

TEST_F(evacuation_fixture, repeats_and_resumed_streams_leave_the_domain_too)
{
    int left = 0;
    for (int n = 0; n < 20; ++n) {
        clock.advance(seconds{2});
        dispatch(evacuations_changed{});
        arrive("resumable");
        const bool was_odd = goes_to_odd();
        const auto key = started();
        dispatch(answer_begun{key, success()});
        dispatch(answer_bytes{key, "id: 1\ndata: x\n\n"});
        dispatch(evacuations_changed{odd_domain});
        dispatch(attempt_broken{key, attempt_stage::answering, "reset", true});
        if (const auto* resumed = find<start_attempt>()) {
            EXPECT_FALSE(goes_to_odd());
            EXPECT_EQ(resumed->parameters.resume_after, 1U);
            left += was_odd ? 1 : 0;
        }
    }
    EXPECT_GT(left, 0);
}

TEST_F(evacuation_fixture, requests_that_run_in_the_domain_go_on)
{
    exchange_attempt key;
    do {
        arrive("unsafe");
        key = started();
    } while (!goes_to_odd());
    dispatch(evacuations_changed{odd_domain});
    EXPECT_EQ(find<cancel_attempt>(), nullptr);
    dispatch(answer_begun{key, success()});
    dispatch(answer_finished{key});
    ASSERT_NE(find<end_answer>(), nullptr);
}

TEST_F(evacuation_fixture, targets_that_register_or_restart_meanwhile_are_evacuated_too)
{
    dispatch(evacuations_changed{odd_domain});
    targets.push_back(make_target(7));
    targets.back().domain = domain_id{"odd"};
    targets.front().started = incarnation{2};
    dispatch(targets_changed{targets});
    EXPECT_EQ(router.metrics().value("evacuated_targets"), 0); // Not read in this deployment.
    for (int n = 0; n < 60; ++n) {
        arrive("safe");
        EXPECT_FALSE(goes_to_odd());
    }
}

// The load pattern: all callers of a pool at once while none of its targets may be used.
TEST_F(evacuation_fixture, a_pool_whose_targets_are_all_evacuated_refuses_at_once)
{
    dispatch(evacuations_changed{both_domains});
    std::set<duration> returns;
    for (int n = 0; n < 50; ++n) {
        arrive("unsafe");
        EXPECT_EQ(find<start_attempt>(), nullptr);
        const auto* refusal = find<refuse_request>();
        ASSERT_NE(refusal, nullptr);
        EXPECT_EQ(refusal->status, 503);
        EXPECT_EQ(refusal->reason, "all_evacuated");
        ASSERT_TRUE(refusal->retry_after);
        EXPECT_GE(*refusal->retry_after, traffic_router::min_evacuated_retry_after);
        EXPECT_LE(*refusal->retry_after, traffic_router::max_evacuated_retry_after);
        returns.insert(*refusal->retry_after);
    }
    EXPECT_GT(returns.size(), 40U);
    dispatch(evacuations_changed{odd_domain});
    arrive("unsafe");
    ASSERT_NE(find<start_attempt>(), nullptr);
    EXPECT_FALSE(goes_to_odd());
}

TEST_F(evacuation_fixture, each_change_is_logged_once)
{
    dispatch(evacuations_changed{odd_domain, 7});
    ASSERT_NE(find<write_log>(), nullptr);
    EXPECT_EQ(find<write_log>()->event.name(), "evacuations_in_force");
    EXPECT_EQ(find<write_log>()->event.field("targets"), "3");
    dispatch(evacuations_changed{odd_domain, 8});
    EXPECT_EQ(find<write_log>(), nullptr);
}

/// A router that has to learn which domains are evacuated, and has just loaded all else.
struct starting_router : router_fixture {
    starting_router()
    {
        traffic_settings settings;
        settings.reads_evacuations = true;
        router = traffic_router{settings};
        dispatch(configuration_changed{make_configuration()});
        dispatch(targets_changed{targets_in_two_domains(4)});
    }
};

TEST_F(starting_router, sends_nothing_before_it_knows_the_evacuations)
{
    EXPECT_FALSE(router.is_ready());
    arrive("safe");
    EXPECT_EQ(find<start_attempt>(), nullptr);
    dispatch(evacuations_changed{both_domains});
    EXPECT_TRUE(router.is_ready());
    EXPECT_EQ(find<start_attempt>(), nullptr);
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->reason, "all_evacuated");
    EXPECT_EQ(router.metrics().value("evacuated_domains"), 2);
    EXPECT_EQ(router.metrics().value("evacuated_targets"), 4);
}

TEST_F(starting_router, serves_after_a_bounded_wait_for_the_evacuations)
{
    ASSERT_TRUE(router.next_timer());
    EXPECT_EQ(*router.next_timer(), clock.now() + traffic_router::max_evacuations_wait);
    advance(traffic_router::max_evacuations_wait);
    EXPECT_TRUE(router.is_ready());
    EXPECT_FALSE(router.next_timer());
    arrive("safe");
    EXPECT_NE(find<start_attempt>(), nullptr);
    dispatch(evacuations_changed{both_domains});
    arrive("safe");
    EXPECT_EQ(find<start_attempt>(), nullptr);
}

TEST_F(router_fixture, a_router_that_serves_goes_on_when_its_settings_add_evacuations)
{
    traffic_settings settings;
    settings.reads_evacuations = true;
    router.set_settings(settings);
    EXPECT_TRUE(router.is_ready());
}

/// Where prompts go in a pool of eight targets in two failure domains.
struct prompt_homes : testing::Test {
    prompt_homes()
    {
        table.replace(targets_in_two_domains(8), clock.now());
        clock.advance(seconds{10});
        query.pool = pool_id{"pool"};
        query.objective = milliseconds{500};
        query.prompt = &prompt;
    }

    /// Returns what is chosen for a prompt with the given shared part.
    chosen_target choose(std::uint64_t part)
    {
        prompt.parts = {{part, 8'000}, {part + 1'000, 500}};
        prompt.tokens = 8'500;
        return std::get<chosen_target>(choose_target(query, table, clock.now()));
    }

    /// Returns the home of each prompt.
    std::map<std::uint64_t, target_id> homes()
    {
        std::map<std::uint64_t, target_id> all;
        for (std::uint64_t part = 1; part <= 100; ++part) {
            const auto chosen = choose(part);
            EXPECT_TRUE(chosen.is_home);
            all[part] = chosen.target->registration().id;
        }
        return all;
    }

    bool is_odd(const target_id& id)
    {
        return table.find(id)->registration().domain.str() == "odd";
    }

    manual_clock clock;
    target_table table;
    prompt_info prompt;
    choice_query query;
};

TEST_F(prompt_homes, only_those_in_the_domain_move_and_they_come_back)
{
    const auto before = homes();
    table.set_evacuated(odd_domain, clock.now());
    const auto meanwhile = homes();
    clock.advance(seconds{30});
    EXPECT_EQ(homes(), meanwhile);
    for (const auto& [part, home] : before) {
        EXPECT_FALSE(is_odd(meanwhile.at(part)));
        if (!is_odd(home)) {
            EXPECT_EQ(meanwhile.at(part), home);
        }
    }
    table.set_evacuated({}, clock.now());
    EXPECT_EQ(homes(), before);
}

// Fetched parts need not be read again. Nothing must be asked of an evacuated target later.
TEST_F(prompt_homes, cached_parts_are_fetched_from_the_former_home_at_first_and_on_the_return)
{
    const auto before = homes();
    table.set_evacuated(odd_domain, clock.now());
    const auto meanwhile = homes();
    std::uint64_t part = 1;
    while (!is_odd(before.at(part))) {
        ++part;
    }
    EXPECT_EQ(choose(part).fetch_from, table.find(before.at(part))->registration().address);
    clock.advance(target_state::evacuated_fetch_time);
    EXPECT_NE(choose(part).fetch_from, table.find(before.at(part))->registration().address);
    clock.advance(seconds{30});
    table.set_evacuated({}, clock.now());
    EXPECT_EQ(choose(part).target->registration().id, before.at(part));
    EXPECT_EQ(choose(part).fetch_from, table.find(meanwhile.at(part))->registration().address);
}

// The load pattern: a pool that is busy everywhere loses half of its targets by an evacuation.
TEST_F(prompt_homes, the_mean_load_is_that_of_the_targets_that_may_be_used)
{
    for (int n = 1; n <= 8; ++n) {
        table.find(target_id{"t" + std::to_string(n)})
            ->update_load(n % 2 == 0 ? 20 : 0, clock.now());
    }
    EXPECT_NEAR(choose(1).mean_in_flight, 10, 0.1);
    table.set_evacuated(odd_domain, clock.now());
    EXPECT_NEAR(choose(1).mean_in_flight, 20, 0.1);
}

TEST(target_state, only_a_target_that_was_in_use_before_its_evacuation_serves_fetches)
{
    manual_clock clock;
    target_state in_use{make_target(1), clock.now()};
    clock.advance(seconds{1});
    target_state just_registered{make_target(2), clock.now()};
    in_use.set_evacuated(true, clock.now());
    just_registered.set_evacuated(true, clock.now());
    EXPECT_TRUE(in_use.serves_fetches(clock.now()));
    EXPECT_FALSE(just_registered.serves_fetches(clock.now()));
    clock.advance(target_state::evacuated_fetch_time);
    EXPECT_FALSE(in_use.serves_fetches(clock.now()));
}

TEST(target_state, evacuation_is_the_first_reason_not_to_send)
{
    manual_clock clock;
    target_state target{make_target(1), clock.now()};
    target.set_leaving();
    target.set_evacuated(true, clock.now());
    EXPECT_EQ(target.obstacle(clock.now()), target_obstacle::evacuated);
    EXPECT_EQ(target.obstacle_left(clock.now()), shared_limit::max_wait);
    target.set_evacuated(false, clock.now());
    EXPECT_EQ(target.obstacle(clock.now()), target_obstacle::leaving);
}

} // namespace
} // namespace endivelatch
