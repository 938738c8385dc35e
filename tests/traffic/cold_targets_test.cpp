#include "router_fixture.hpp"

#include <map>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr cold_start_limit limit{seconds{3}, request_rate{4}};

/// A router of a fleet of eight whose pool's targets are protected while they are cold.
class cold_targets : public router_fixture {
protected:
    cold_targets()
    {
        router.set_settings(settings());
        configure(limit);
        fleet_changed fleet{8, {router_key{1}, {}}};
        for (std::uint32_t n = 2; n <= fleet.routers; ++n) {
            fleet.fleet.others.emplace_back(n);
        }
        dispatch(std::move(fleet));
        clock.advance(cold_senders::settling_time);
    }

    static traffic_settings settings()
    {
        traffic_settings it;
        it.cold_overage = 1.5;
        it.cold_slack = 5;
        return it;
    }

    void configure(std::optional<cold_start_limit> cold_start)
    {
        traffic_pool pool;
        pool.id = pool_id{"pool"};
        pool.cold_start = cold_start;
        std::vector<traffic_route> routes{make_route("safe", request_kind::safe, 2)};
        dispatch(configuration_changed{std::make_shared<const traffic_configuration>(
            traffic_version{2}, std::move(routes), std::vector<traffic_pool>{pool},
            std::vector<traffic_organisation>{{organisation_id{"org"}, {"key"}, 3}},
            caller_limits{})});
    }

    /// Sends a new version of the registrations of t1 to t4 that differ by `change`.
    template <class Change>
    void register_targets(Change change)
    {
        targets_changed known;
        ++revision;
        for (int n = 1; n <= 4; ++n) {
            auto target = make_target(n);
            change(n, target);
            known.targets.push_back(target);
        }
        dispatch(std::move(known));
    }

    /// Presses on the router and returns the requests that each target got.
    std::map<target_id, int> press(duration time)
    {
        std::map<target_id, int> sent;
        for (const auto ends_at = clock.now() + time; clock.now() < ends_at;) {
            clock.advance(milliseconds{5});
            arrive("safe");
            if (const auto* attempt = find<start_attempt>()) {
                const auto key = attempt->key;
                ++sent[attempt->parameters.expected_target];
                dispatch(answer_begun{key, success()});
                dispatch(answer_finished{key});
            }
        }
        return sent;
    }

    /// Requests of this router to a cold target in a second: an eighth of the rule's sends, that is
    /// 9 of at most 11.
    static constexpr int share = 2;

    std::uint64_t revision = 0;
};

TEST_F(cold_targets, a_target_that_states_to_be_cold_gets_this_routers_share)
{
    register_targets([&](int n, auto& it) {
        it.cold_left = n == 2 ? seconds{2} : seconds{0};
        it.revision = revision;
    });
    EXPECT_EQ(router.metrics().value("cold_starts"), 1);
    const auto sent = press(seconds{1});
    EXPECT_LE(sent.count(target_id{"t2"}) == 0 ? 0 : sent.at(target_id{"t2"}), share);
    EXPECT_GE(sent.at(target_id{"t1"}), 20);
    clock.advance(seconds{1});
    EXPECT_GE(press(seconds{1}).at(target_id{"t2"}), 20);
}

TEST_F(cold_targets, new_and_restarted_targets_are_cold)
{
    register_targets([&](int n, auto& it) {
        it.started = incarnation{n == 1 ? 2U : 0U};
        it.id = n == 3 ? target_id{"new"} : it.id;
    });
    EXPECT_EQ(router.metrics().value("cold_starts"), 2);
    const auto sent = press(seconds{3});
    EXPECT_LE(sent.at(target_id{"t1"}), 3 * share);
    EXPECT_LE(sent.at(target_id{"new"}), 3 * share);
    EXPECT_GE(sent.at(target_id{"t2"}), 60);
}

// The targets that a router finds at its start have been there before, unless they state otherwise.
TEST_F(cold_targets, targets_known_from_the_start_are_warm)
{
    const auto sent = press(seconds{1});
    ASSERT_EQ(sent.size(), 4U);
    for (const auto& [id, count] : sent) {
        EXPECT_GE(count, 20) << id;
    }
}

// Registrations that expired while the store was unavailable come back all at once.
TEST_F(cold_targets, a_target_whose_registration_comes_back_is_warm)
{
    dispatch(targets_changed{});
    register_targets([](int, auto&) {});
    EXPECT_EQ(router.metrics().value("cold_starts"), 0);
}

TEST_F(cold_targets, a_target_may_turn_cold_again_and_state_that_it_is_warm)
{
    const auto state = [&](duration left) {
        register_targets([&](int n, auto& it) {
            it.cold_left = n == 2 ? left : duration{};
            it.revision = revision;
        });
    };
    state(seconds{3});
    clock.advance(seconds{3});
    state(seconds{3});
    EXPECT_EQ(router.metrics().value("cold_starts"), 2);
    EXPECT_LE(press(seconds{1})[target_id{"t2"}], share);
    state(duration{});
    EXPECT_GE(press(seconds{1}).at(target_id{"t2"}), 20);
}

// A list that repeats a registration states nothing new.
TEST_F(cold_targets, an_unchanged_registration_does_not_extend_the_cold_time)
{
    for (int n = 0; n < 4; ++n) {
        register_targets([](int, auto& it) { it.cold_left = seconds{3}; });
        clock.advance(seconds{1});
    }
    EXPECT_EQ(press(seconds{1}).size(), 4U);
}

TEST_F(cold_targets, an_answer_states_how_long_its_target_is_cold)
{
    arrive("safe");
    const auto id = find<start_attempt>()->parameters.expected_target;
    auto answer = success();
    answer.cold_left = seconds{3};
    const auto key = started();
    dispatch(answer_begun{key, answer});
    dispatch(answer_finished{key});
    EXPECT_EQ(router.metrics().value("cold_starts"), 1);
    EXPECT_LE(press(seconds{1})[id], share);
}

// It may have restarted while it could not be reached.
TEST_F(cold_targets, a_target_counts_as_cold_after_its_ejection)
{
    arrive("safe");
    const auto id = find<start_attempt>()->parameters.expected_target;
    dispatch(attempt_broken{started(), attempt_stage::not_sent, "refused"});
    clock.advance(target_state::base_ejection_time);
    EXPECT_LE(press(seconds{1})[id], share);
    clock.advance(limit.time);
    EXPECT_GE(press(seconds{1})[id], 20);
}

TEST_F(cold_targets, requests_are_refused_when_all_targets_are_cold)
{
    register_targets([&](int, auto& it) {
        it.cold_left = seconds{3};
        it.revision = revision;
    });
    const auto sent = press(seconds{1});
    for (const auto& [id, count] : sent) {
        EXPECT_LE(count, share) << id;
    }
    arrive("safe");
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 503);
    EXPECT_TRUE(find<refuse_request>()->retry_after);
}

TEST_F(cold_targets, nothing_changes_where_no_rate_is_configured)
{
    configure(cold_start_limit{seconds{3}, request_rate{0}});
    register_targets([&](int, auto& it) {
        it.cold_left = seconds{3};
        it.revision = revision;
        it.started = incarnation{7};
    });
    EXPECT_EQ(router.metrics().value("cold_starts"), 0);
    EXPECT_EQ(press(seconds{1}).size(), 4U);
}

} // namespace
} // namespace endivelatch
