#include "endivelatch/ledger/ledger.hpp"

#include "endivelatch/ledger/booking_key_time.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace endivelatch {

namespace {

using testing::HasSubstr;

constexpr wall_time wall{std::chrono::seconds{1'800'000'000}};
constexpr time_point start{std::chrono::hours{1}};

/// One ledger, and the platform's object played by the test.
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

    /// Returns the first effect of the type, which must be there.
    template <class Effect>
    static Effect only(const ledger_effects& effects)
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
    static bool has(const ledger_effects& effects)
    {
        return std::any_of(effects.begin(), effects.end(),
                           [](const auto& it) { return std::holds_alternative<Effect>(it); });
    }

    static platform_call_id call_of(const ledger_effects& effects)
    {
        const auto call = only<platform_call>(effects);
        return std::visit([](const auto& it) { return it.call; }, call);
    }

    /// Returns the id of the write among the effects, which must be there.
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

    /// Answers the read of a missing object and returns the effects, which hold the write.
    ledger_effects answer_missing(const ledger_effects& effects, time_point now)
    {
        return owner.answered({call_of(effects), objects_found{}}, now);
    }

    /// Books, stores the record and returns the effects, which hold the start.
    ledger_effects book_and_store(std::uint64_t sequence)
    {
        const auto written = answer_missing(owner.book(request(sequence), wall, start), start);
        return owner.answered({call_of(written), write_done{object_version{7}}}, start);
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

TEST_F(ledger_test, a_retry_gets_the_kept_answer_and_another_body_is_refused)
{
    const auto started = book_and_store(1);
    owner.run_ended(only<start_booking>(started).request, complete_with("part booked"), start);
    const auto again = only<booking_answer>(owner.book(request(2), wall, start));
    EXPECT_EQ(again.result.result, outcome::complete);
    EXPECT_EQ(*again.result.body, "part booked");
    const auto other = only<booking_answer>(owner.book(request(3, "other"), wall, start));
    EXPECT_EQ(other.result.result, outcome::not_run);
    EXPECT_FALSE(other.key_unused);
    EXPECT_THAT(other.reason, HasSubstr("used with another body"));
}

TEST_F(ledger_test, a_record_stored_after_the_start_deadline_is_cancelled)
{
    const auto written = answer_missing(owner.book(request(1), wall, start), start);
    const auto late = start + std::chrono::hours{49};
    const auto effects = owner.answered({call_of(written), write_done{object_version{7}}}, late);
    EXPECT_FALSE(has<start_booking>(effects));

    ledger_settings unsafe;
    unsafe.protections.check_start_deadline = false;
    owner = ledger{router_id{"r1"}, incarnation{2}, unsafe, call_ids};
    owner.set_owned({shard_of(organisation_id{"o1"}, booked_key)});
    const auto again = answer_missing(owner.book(request(2), wall, start), start);
    EXPECT_TRUE(
        has<start_booking>(owner.answered({call_of(again), write_done{object_version{7}}}, late)));
}

TEST_F(ledger_test, refuses_at_once_while_the_platform_is_down)
{
    const auto read = owner.book(request(1), wall, start);
    const auto refused = only<booking_answer>(
        owner.answered({call_of(read), platform_failed{false, "refused"}}, start));
    EXPECT_EQ(refused.result.result, outcome::not_run);
    EXPECT_GT(refused.retry_after, duration{0});
    const auto next = owner.book(request(2), wall, start);
    EXPECT_EQ(only<booking_answer>(next).result.result, outcome::not_run);
    EXPECT_FALSE(has<platform_call>(next));
}

TEST_F(ledger_test, refuses_keys_that_are_old_malformed_or_in_the_future)
{
    const auto old = owner.book(request(1), wall + std::chrono::hours{24}, start);
    EXPECT_THAT(only<booking_answer>(old).reason, HasSubstr("has expired"));
    const auto early = owner.book(request(2), wall - std::chrono::hours{1}, start);
    EXPECT_THAT(only<booking_answer>(early).reason, HasSubstr("lies in the future"));
    auto malformed = request(3);
    malformed.key = booking_key{"part-7"};
    EXPECT_THAT(only<booking_answer>(owner.book(malformed, wall, start)).reason,
                HasSubstr("does not have the form"));
}

TEST_F(ledger_test, says_unknown_for_an_answer_that_was_too_large_to_keep)
{
    const auto started = book_and_store(1);
    const auto body = std::string(5000, 'x');
    owner.run_ended(only<start_booking>(started).request, complete_with(body), start);
    const auto again = only<booking_answer>(owner.book(request(2), wall, start));
    EXPECT_EQ(again.result.result, outcome::unknown);
    EXPECT_THAT(again.reason, HasSubstr("ran with status 200"));
}

TEST_F(ledger_test, refuses_new_keys_when_the_object_is_full)
{
    ledger_settings small;
    small.object_size = 4096;
    owner = ledger{router_id{"r1"}, incarnation{2}, small, call_ids};
    owner.set_owned({shard_of(organisation_id{"o1"}, booked_key)});
    const auto full = answer_missing(owner.book(request(1), wall, start), start);
    EXPECT_THAT(only<booking_answer>(full).reason, HasSubstr("is full"));
    EXPECT_TRUE(only<booking_answer>(full).key_unused);
}

TEST_F(ledger_test, a_refused_run_is_cancelled_before_not_run_is_said)
{
    const auto started = book_and_store(1);
    EXPECT_TRUE(owner.run_refused(only<start_booking>(started).request, "full", start).empty());
    const auto due = start + ledger_settings{}.group_interval;
    const auto cancelling = owner.tick(due);
    EXPECT_FALSE(has<booking_answer>(cancelling));
    const auto said = only<booking_answer>(
        owner.answered({write_of(cancelling), write_done{object_version{8}}}, due));
    EXPECT_EQ(said.result.result, outcome::not_run);
    EXPECT_EQ(said.reason, "full");
    EXPECT_TRUE(said.key_unused);
}

TEST_F(ledger_test, what_the_target_says_settles_another_routers_start)
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
    const auto read = second.book(request(2), wall, start);
    const auto question = only<query_target>(second.answered({call_of(read), found}, start));
    EXPECT_EQ(question.start_id, "r1.1.1");
    const auto said = second.target_said(question, complete_with("booked"), start);
    EXPECT_EQ(*only<booking_answer>(said).result.body, "booked");
}

/// Counts the writes of a ledger whose calls are answered at once.
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

TEST_F(ledger_test, writes_of_the_whole_fleet_stay_under_their_bound)
{
    constexpr std::uint64_t writes_per_second = 300;
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
        const auto now = start + std::chrono::milliseconds{n};
        auto one = request(static_cast<std::uint64_t>(n));
        one.key = booking_key{"1800000000-" + std::to_string(n)};
        counter.carry_out(all.book(one, wall, now), now);
        counter.carry_out(all.tick(now), now);
    }
    EXPECT_LT(counter.writes, writes_per_second * seconds);
    EXPECT_GT(counter.starts, static_cast<std::uint64_t>((seconds - 1) * per_second));
}

} // namespace

} // namespace endivelatch
