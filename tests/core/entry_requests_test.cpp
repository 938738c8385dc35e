#include "endivelatch/core/entry_requests.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

/// Drives the requests of one entry router, with routes to the owners "a" and "b".
class entry_requests_test : public testing::Test {
protected:
    entry_requests_test()
    {
        at.now = time_point{} + std::chrono::hours{1};
        spec.organisation = organisation_id{"o"};
        spec.pool = pool_id{"p"};
        spec.start_by = at.now + std::chrono::seconds{10};
        spec.run_timeout = std::chrono::seconds{60};
        spec.streams = true;
    }

    request_id start() { return requests.start(exchange_sink{exchange_number{1}}, spec, at, out); }

    /// Starts the run of a booking on behalf of the ledger, which may run only once.
    request_id start_run_of_booking()
    {
        spec.repeat = repeatability::non_idempotent;
        spec.streams = false;
        return requests.start(booking_sink{}, spec, at, out);
    }

    attempt_key key(const request_id& id, std::uint32_t n) const { return {id, attempt{n}}; }

    peer_envelope from(const std::string& owner, std::uint64_t run = 1) const
    {
        peer_envelope envelope;
        envelope.from = router_id{owner};
        envelope.from_incarnation = incarnation{run};
        return envelope;
    }

    answer_event event(const request_id& id, std::uint32_t n, std::uint64_t number) const
    {
        return {key(id, n), event_number{number}, std::make_shared<const std::string>("x")};
    }

    /// Returns the outcome reported to the caller since the last call, if any.
    std::optional<outcome> ended()
    {
        std::optional<outcome> found;
        for (const auto& it : requests.take_outputs()) {
            if (const auto* end = std::get_if<answer_end>(&it.part)) {
                EXPECT_FALSE(found.has_value()) << "a request ended twice";
                found = end->result;
            }
        }
        return found;
    }

    /// Returns the number of messages of a type that were sent since the last call.
    template <class Message>
    int sent()
    {
        int count = 0;
        for (const auto& effect : out.take()) {
            const auto* it = std::get_if<send_peer>(&effect);
            count += it != nullptr && std::holds_alternative<Message>(it->envelope.body) ? 1 : 0;
        }
        return count;
    }

    std::optional<route> next_route(const std::vector<target_id>& tried) const
    {
        if (tried.size() >= owners.size()) {
            return std::nullopt;
        }
        const auto& owner = owners[tried.size()];
        return route{target_id{"target-" + owner}, router_id{owner}, incarnation{1}};
    }

    moment at;
    request_spec spec;
    counters all_counters;
    outbox out{all_counters};
    std::vector<std::string> owners{"a", "b"};
    bool retries_allowed = true;
    entry_requests requests{
        router_id{"entry"}, incarnation{1},
        [this](const request_spec&, const std::vector<target_id>& tried, const moment&) {
            return next_route(tried);
        },
        [this](const organisation_id&, const moment&) { return retries_allowed; }};
};

TEST_F(entry_requests_test, messages_of_other_attempts_and_duplicates_are_dropped)
{
    const auto id = start();
    requests.on_event(from("b"), event(id, 1, 1), out);
    requests.on_event(from("a", 2), event(id, 1, 1), out);
    requests.on_event(from("a"), event(id, 7, 1), out);
    EXPECT_TRUE(requests.take_outputs().empty());
    requests.on_event(from("a"), event(id, 1, 1), out);
    requests.on_event(from("a"), event(id, 1, 1), out);
    EXPECT_EQ(requests.take_outputs().size(), 1U);
    EXPECT_EQ(all_counters.value("answers_dropped", "reason=\"no_such_attempt\""), 3);
    EXPECT_EQ(all_counters.value("answers_dropped", "reason=\"out_of_order\""), 1);
}

TEST_F(entry_requests_test, response_with_a_missing_event_is_not_complete)
{
    const auto id = start();
    requests.on_event(from("a"), event(id, 1, 1), out);
    requests.on_end(from("a"), {key(id, 1), outcome::complete, event_number{2}, "", {}}, at, out);
    EXPECT_FALSE(ended().has_value());
    requests.on_status(from("a"), {key(id, 1), attempt_state::ended, outcome::complete}, at, out);
    requests.on_event(from("a"), event(id, 1, 2), out);
    requests.on_end(from("a"), {key(id, 1), outcome::complete, event_number{2}, "", {}}, at, out);
    EXPECT_EQ(ended(), outcome::complete);
}

// An owner that has just restarted does not know the entry router yet, so its answer is lost
// without a lost link. The entry router waited for it until the run's timeout, also while it was
// stopping.
TEST_F(entry_requests_test, lost_answer_of_a_booking_is_noticed_by_a_query)
{
    spec.key = booking_key{"k"};
    spec.repeat = repeatability::non_idempotent;
    spec.start_by = at.now + std::chrono::seconds{30};
    const auto id = start();
    out.take();
    at.now += std::chrono::seconds{5};
    requests.tick(at, out);
    EXPECT_EQ(sent<status_query>(), 1);
    requests.on_status(from("a"), {key(id, 1), attempt_state::running, outcome::unknown}, at, out);
    at.now += std::chrono::seconds{5};
    requests.tick(at, out);
    EXPECT_EQ(sent<status_query>(), 1);
    requests.on_status(from("a"), {key(id, 1), attempt_state::never_seen, outcome::unknown}, at,
                       out);
    EXPECT_FALSE(ended().has_value()); // Asked again: the ledger knows the result.
    requests.on_end(from("b"), {key(id, 2), outcome::complete, {}, "", {}}, at, out);
    EXPECT_EQ(ended(), outcome::complete);
}

// The run of a booking has no caller, so only the answer of its owner or the run's timeout ends it.
// An owner that restarted dropped its answer, and a stopping router waited for the timeout.
TEST_F(entry_requests_test, lost_answer_of_a_run_for_the_ledger_is_fetched_after_a_query)
{
    const auto id = start_run_of_booking();
    out.take();
    at.now += std::chrono::seconds{5};
    requests.tick(at, out);
    EXPECT_EQ(sent<status_query>(), 1);
    requests.on_status(from("a"), {key(id, 1), attempt_state::ended, outcome::complete}, at, out);
    EXPECT_EQ(sent<resume_request>(), 1);
    requests.on_begin(from("a"), {key(id, 1), 200, "text/plain", ""}, out);
    requests.on_end(from("a"), {key(id, 1), outcome::complete, {}, "", {}}, at, out);
    EXPECT_EQ(ended(), outcome::complete);
}

TEST_F(entry_requests_test, run_for_the_ledger_ends_as_unknown_when_its_owner_has_restarted)
{
    const auto id = start_run_of_booking();
    at.now += std::chrono::seconds{5};
    requests.tick(at, out);
    requests.on_status(from("a", 2), {key(id, 1), attempt_state::never_seen, outcome::unknown}, at,
                       out);
    EXPECT_EQ(ended(), outcome::unknown);
}

TEST_F(entry_requests_test, run_for_the_ledger_is_not_given_up_while_its_owner_is_silent)
{
    const auto id = start_run_of_booking();
    requests.on_begin(from("a"), {key(id, 1), 200, "text/plain", ""}, out);
    const auto ends_at = at.now + std::chrono::seconds{30};
    while (at.now < ends_at) {
        at.now += std::chrono::seconds{1};
        requests.tick(at, out);
    }
    EXPECT_GE(sent<status_query>(), 4);
    EXPECT_FALSE(ended().has_value());
    requests.on_end(from("a"), {key(id, 1), outcome::complete, {}, "", {}}, at, out);
    EXPECT_EQ(ended(), outcome::complete);
}

TEST_F(entry_requests_test, booking_of_a_caller_that_left_is_queried_and_not_cancelled)
{
    spec.key = booking_key{"k"};
    start();
    requests.on_caller_closed(exchange_number{1}, {}, at, out);
    out.take();
    at.now += std::chrono::seconds{5};
    requests.tick(at, out);
    EXPECT_EQ(sent<cancel_request>(), 0);
    at.now += std::chrono::seconds{2};
    requests.tick(at, out); // The owner does not answer the query.
    EXPECT_EQ(sent<cancel_request>(), 0);
    EXPECT_FALSE(requests.next_timer().has_value());
}

TEST_F(entry_requests_test, request_refused_by_every_owner_ends_as_not_run)
{
    const auto id = start();
    requests.on_end(from("a"), {key(id, 1), outcome::not_run, {}, "full", {}}, at, out);
    requests.on_end(from("b"), {key(id, 2), outcome::not_run, {}, "full", {}}, at, out);
    EXPECT_FALSE(ended().has_value());
    at.now = spec.start_by;
    requests.tick(at, out);
    EXPECT_EQ(ended(), outcome::not_run);
}

TEST_F(entry_requests_test, request_with_an_earlier_unknown_attempt_never_ends_as_not_run)
{
    const auto id = start();
    requests.on_peer_lost(router_id{"a"}, at, out);
    requests.on_end(from("b"), {key(id, 2), outcome::not_run, {}, "full", {}}, at, out);
    at.now = spec.start_by;
    requests.tick(at, out);
    EXPECT_EQ(ended(), outcome::unknown);
}

TEST_F(entry_requests_test, non_idempotent_request_is_not_retried_after_its_owner_is_lost)
{
    spec.repeat = repeatability::non_idempotent;
    start();
    out.take();
    requests.on_peer_lost(router_id{"a"}, at, out);
    EXPECT_EQ(ended(), outcome::unknown);
    for (const auto& it : out.take()) {
        EXPECT_FALSE(std::holds_alternative<send_peer>(it));
    }
}

TEST_F(entry_requests_test, request_is_not_retried_when_the_retry_budget_is_exhausted)
{
    retries_allowed = false;
    start();
    requests.on_peer_lost(router_id{"a"}, at, out);
    EXPECT_EQ(ended(), outcome::unknown);
}

TEST_F(entry_requests_test, never_seen_from_a_restarted_owner_leaves_the_outcome_unknown)
{
    retries_allowed = false;
    const auto id = start();
    requests.on_link_lost(router_id{"a"}, at, out);
    requests.on_status(from("a", 2), {key(id, 1), attempt_state::never_seen, {}}, at, out);
    EXPECT_EQ(ended(), outcome::unknown);
}

TEST_F(entry_requests_test, another_organisation_can_neither_take_over_nor_cancel_a_request)
{
    const auto id = start();
    const route owner{target_id{"target-a"}, router_id{"a"}, incarnation{1}};
    EXPECT_FALSE(requests.resume(exchange_number{2}, id, owner, organisation_id{"other"},
                                 event_number{0}, at, out));
    EXPECT_FALSE(requests.cancel(id, organisation_id{"other"}, out));
    requests.on_event(from("a"), event(id, 1, 1), out);
    const auto outputs = requests.take_outputs();
    ASSERT_EQ(outputs.size(), 1U);
    EXPECT_EQ(std::get<exchange_sink>(outputs[0].sink).exchange, exchange_number{1});
}

TEST_F(entry_requests_test, resumed_response_continues_after_the_last_received_event)
{
    const auto id = start();
    requests.on_event(from("a"), event(id, 1, 1), out);
    requests.on_event(from("a"), event(id, 1, 2), out);
    requests.take_outputs();
    requests.on_caller_closed(exchange_number{1}, std::chrono::seconds{10}, at, out);
    const route owner{target_id{"target-a"}, router_id{"a"}, incarnation{1}};
    EXPECT_TRUE(requests.resume(exchange_number{2}, id, owner, spec.organisation, event_number{1},
                                at, out));
    requests.on_event(from("a"), event(id, 1, 2), out);
    const auto outputs = requests.take_outputs();
    ASSERT_EQ(outputs.size(), 1U);
    EXPECT_EQ(std::get<exchange_sink>(outputs[0].sink).exchange, exchange_number{2});
}

TEST_F(entry_requests_test, lost_booking_response_is_requested_again_and_never_ends_as_not_run)
{
    spec.key = booking_key{"1-k"};
    spec.streams = false;
    const auto id = start();
    requests.on_link_lost(router_id{"a"}, at, out);
    requests.on_status(from("a"), {key(id, 1), attempt_state::never_seen, {}}, at, out);
    requests.on_end(from("b"), {key(id, 2), outcome::not_run, {}, "the platform is down", {}}, at,
                    out);
    EXPECT_EQ(ended(), outcome::unknown);
}

} // namespace
} // namespace endivelatch
