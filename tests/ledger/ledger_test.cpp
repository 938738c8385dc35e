#include "endivelatch/ledger/ledger.hpp"

#include "endivelatch/ledger/booking_key_time.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace endivelatch {

namespace {

using testing::HasSubstr;

constexpr wall_time wall{std::chrono::seconds{1'800'000'000}};
constexpr time_point start_time{std::chrono::hours{1}};

/// Fixture with one ledger; the test answers its platform calls.
class ledger_test : public testing::Test {
protected:
    ledger_test() { owner.set_owned({shard_of(organisation_id{"o1"}, booked_key)}); }

    booking request(std::uint64_t sequence, const std::string& digest = "digest") const
    {
        booking out;
        out.request = {router_id{"caller"}, incarnation{1}, sequence};
        out.organisation = organisation_id{"o1"};
        out.key = booked_key;
        out.body_digest = digest;
        return out;
    }

    /// Returns the first effect of the type; fails the test if there is none.
    template <class Effect>
    static Effect first_effect(const ledger_effects& effects)
    {
        for (const auto& it : effects) {
            if (const auto* const found = std::get_if<Effect>(&it)) {
                return *found;
            }
        }
        ADD_FAILURE() << "the effect is missing";
        return {};
    }

    template <class Effect>
    static bool has_effect(const ledger_effects& effects)
    {
        return std::any_of(effects.begin(), effects.end(),
                           [](const auto& it) { return std::holds_alternative<Effect>(it); });
    }

    static platform_call_id call_of(const ledger_effects& effects)
    {
        const auto call = first_effect<platform_call>(effects);
        return std::visit([](const auto& it) { return it.call; }, call);
    }

    /// Returns the call id of the first write; fails the test if there is none.
    static platform_call_id write_of(const ledger_effects& effects)
    {
        for (const auto& it : effects) {
            const auto* const call = std::get_if<platform_call>(&it);
            if (call != nullptr && std::holds_alternative<write_object>(*call)) {
                return std::get<write_object>(*call).call;
            }
        }
        ADD_FAILURE() << "the write is missing";
        return {};
    }

    /// Answers the read with a missing object and returns the effects, including the write.
    ledger_effects answer_missing(const ledger_effects& effects, time_point now)
    {
        return owner.answered({call_of(effects), objects_found{}}, now);
    }

    /// Books, acknowledges the write and returns the effects, including the start.
    ledger_effects book_and_store(std::uint64_t sequence)
    {
        const auto written =
            answer_missing(owner.book(request(sequence), wall, start_time), start_time);
        return owner.answered({call_of(written), write_done{object_version{7}}}, start_time);
    }

    static booking_result complete_with(const std::string& body)
    {
        return {outcome::complete, 200, "text/plain", std::make_shared<const std::string>(body)};
    }

    booking_key booked_key{"1800000000-part-7"};
    platform_call_id_source call_ids;
    ledger owner{router_id{"r1"}, incarnation{1}, {}, call_ids};
};

TEST(booking_key_time_test, reads_the_time_and_refuses_other_forms)
{
    const auto time = booking_key_time(booking_key{"1700000000-part-7"});
    ASSERT_TRUE(time.has_value());
    EXPECT_EQ(*time, wall_time{std::chrono::seconds{1'700'000'000}});
    for (const auto* bad : {"", "17", "17-", "-17-a", "x-17", "17_a", "17-a b", "999999999999-a"}) {
        EXPECT_FALSE(booking_key_time(booking_key{bad}).has_value()) << bad;
    }
}

TEST_F(ledger_test, answers_a_retry_from_the_record_and_refuses_another_body)
{
    const auto started = book_and_store(1);
    owner.run_ended(first_effect<start_booking>(started).request, complete_with("part booked"),
                    start_time);
    const auto again = first_effect<booking_answer>(owner.book(request(2), wall, start_time));
    EXPECT_EQ(again.result.result, outcome::complete);
    EXPECT_EQ(*again.result.body, "part booked");
    const auto other =
        first_effect<booking_answer>(owner.book(request(3, "other"), wall, start_time));
    EXPECT_EQ(other.result.result, outcome::not_run);
    EXPECT_FALSE(other.key_unused);
    EXPECT_THAT(other.reason, HasSubstr("used with another body"));
}

TEST_F(ledger_test, cancels_a_record_stored_after_the_start_deadline)
{
    const auto written = answer_missing(owner.book(request(1), wall, start_time), start_time);
    const auto late = start_time + std::chrono::hours{49};
    const auto effects = owner.answered({call_of(written), write_done{object_version{7}}}, late);
    EXPECT_FALSE(has_effect<start_booking>(effects));

    ledger_settings unsafe;
    unsafe.protections.check_start_deadline = false;
    owner = ledger{router_id{"r1"}, incarnation{2}, unsafe, call_ids};
    owner.set_owned({shard_of(organisation_id{"o1"}, booked_key)});
    const auto again = answer_missing(owner.book(request(2), wall, start_time), start_time);
    EXPECT_TRUE(has_effect<start_booking>(
        owner.answered({call_of(again), write_done{object_version{7}}}, late)));
}

TEST_F(ledger_test, refuses_at_once_while_the_platform_is_down)
{
    const auto read = owner.book(request(1), wall, start_time);
    const auto refused = first_effect<booking_answer>(
        owner.answered({call_of(read), platform_failed{false, "refused"}}, start_time));
    EXPECT_EQ(refused.result.result, outcome::not_run);
    EXPECT_GT(refused.retry_after, duration{0});
    const auto next = owner.book(request(2), wall, start_time);
    EXPECT_EQ(first_effect<booking_answer>(next).result.result, outcome::not_run);
    EXPECT_FALSE(has_effect<platform_call>(next));
}

TEST_F(ledger_test, refuses_keys_that_are_old_malformed_or_in_the_future)
{
    const auto old = owner.book(request(1), wall + std::chrono::hours{24}, start_time);
    EXPECT_THAT(first_effect<booking_answer>(old).reason, HasSubstr("has expired"));
    const auto early = owner.book(request(2), wall - std::chrono::hours{1}, start_time);
    EXPECT_THAT(first_effect<booking_answer>(early).reason, HasSubstr("lies in the future"));
    auto malformed = request(3);
    malformed.key = booking_key{"part-7"};
    EXPECT_THAT(first_effect<booking_answer>(owner.book(malformed, wall, start_time)).reason,
                HasSubstr("does not have the form"));
}

TEST_F(ledger_test, answers_unknown_when_the_result_was_too_large_to_keep)
{
    const auto started = book_and_store(1);
    const auto body = std::string(5000, 'x');
    owner.run_ended(first_effect<start_booking>(started).request, complete_with(body), start_time);
    const auto again = first_effect<booking_answer>(owner.book(request(2), wall, start_time));
    EXPECT_EQ(again.result.result, outcome::unknown);
    EXPECT_THAT(again.reason, HasSubstr("ran with status 200"));
}

TEST_F(ledger_test, refuses_new_keys_when_the_object_is_full)
{
    ledger_settings small;
    small.max_object_size = 4096;
    owner = ledger{router_id{"r1"}, incarnation{2}, small, call_ids};
    owner.set_owned({shard_of(organisation_id{"o1"}, booked_key)});
    const auto full = answer_missing(owner.book(request(1), wall, start_time), start_time);
    EXPECT_THAT(first_effect<booking_answer>(full).reason, HasSubstr("is full"));
    EXPECT_TRUE(first_effect<booking_answer>(full).key_unused);
}

TEST_F(ledger_test, cancels_a_refused_run_before_answering_not_run)
{
    const auto started = book_and_store(1);
    EXPECT_TRUE(owner.run_refused(first_effect<start_booking>(started).request, "full", start_time)
                    .empty());
    const auto due = start_time + ledger_settings{}.write_interval;
    const auto cancelling = owner.tick(due);
    EXPECT_FALSE(has_effect<booking_answer>(cancelling));
    const auto answer = first_effect<booking_answer>(
        owner.answered({write_of(cancelling), write_done{object_version{8}}}, due));
    EXPECT_EQ(answer.result.result, outcome::not_run);
    EXPECT_EQ(answer.reason, "full");
    EXPECT_TRUE(answer.key_unused);
}

TEST_F(ledger_test, a_target_report_resolves_a_start_by_another_router)
{
    book_and_store(1);
    ledger second{router_id{"r2"}, incarnation{1}, {}, call_ids};
    second.set_owned({shard_of(organisation_id{"o1"}, booked_key)});
    booking_record record;
    record.digest = "digest";
    record.start_id = "r1.1.1";
    const auto name =
        bucket_object_name(shard_of(organisation_id{"o1"}, booked_key), bucket_of(wall));
    const auto document = to_document({{record_name(organisation_id{"o1"}, booked_key), record}});
    const objects_found found{{{name, object_version{7}, document}}, object_version{7}};
    const auto read = second.book(request(2), wall, start_time);
    const auto query =
        first_effect<query_target>(second.answered({call_of(read), found}, start_time));
    EXPECT_EQ(query.start_id, "r1.1.1");
    const auto answer = second.target_reported(query, complete_with("booked"), start_time);
    EXPECT_EQ(*first_effect<booking_answer>(answer).result.body, "booked");
}

/// Answers all calls of a ledger at once and counts its writes and starts.
class write_counter {
public:
    explicit write_counter(ledger& reducer) : reducer_{reducer} {}

    std::uint64_t writes = 0;
    std::uint64_t starts = 0;

    void carry_out(const ledger_effects& effects, time_point now)
    {
        for (const auto& it : effects) {
            starts += std::holds_alternative<start_booking>(it) ? 1 : 0;
            if (const auto* const call = std::get_if<platform_call>(&it)) {
                carry_out(reducer_.answered(answer_to(*call), now), now);
            }
        }
    }

private:
    platform_answer answer_to(const platform_call& call)
    {
        const auto id = std::visit([](const auto& it) { return it.call; }, call);
        if (std::holds_alternative<read_object>(call)) {
            return {id, objects_found{}};
        }
        ++writes;
        return {id, write_done{object_version{writes}}};
    }

    ledger& reducer_;
};

TEST_F(ledger_test, keeps_the_write_rate_of_all_shards_below_the_limit)
{
    constexpr std::uint64_t max_writes_per_second = 300;
    constexpr std::int64_t seconds = 4;
    constexpr std::int64_t per_second = 1000;
    ledger_settings settings;
    settings.sweep_interval = settings.idle_sweep_interval = std::chrono::hours{1};
    ledger all{router_id{"r1"}, incarnation{1}, settings, call_ids};
    std::set<std::uint32_t> shards;
    for (std::uint32_t n = 0; n < ledger_shards; ++n) {
        shards.insert(n);
    }
    all.set_owned(shards);
    write_counter counter{all};
    for (std::int64_t n = 0; n < seconds * per_second; ++n) {
        const auto now = start_time + std::chrono::milliseconds{n};
        auto one = request(static_cast<std::uint64_t>(n));
        one.key = booking_key{"1800000000-" + std::to_string(n)};
        counter.carry_out(all.book(one, wall, now), now);
        counter.carry_out(all.tick(now), now);
    }
    EXPECT_LT(counter.writes, max_writes_per_second * seconds);
    EXPECT_GT(counter.starts, static_cast<std::uint64_t>((seconds - 1) * per_second));
}

} // namespace

} // namespace endivelatch
