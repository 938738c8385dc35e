#include "endivelatch/traffic/crash_evidence.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr prompt_part common{1, 1'000};
constexpr prompt_part deadly{2, 500};
constexpr prompt_part document{3, 500};

/// Evidence of one router with a manual clock.
struct crash_evidence_test : testing::Test {
    /// Lets a request be sent, wait for 200 ms and end with the crash of the target.
    void crash(std::uint32_t target, std::vector<prompt_part> parts)
    {
        const auto sent_at = clock.now();
        clock.advance(milliseconds{200});
        evidence.record_crash(
            {crash_report_id{++last_id}, target_key{target}, std::move(parts), sent_at},
            clock.now());
    }

    /// Lets a target answer a prompt with the parts, and with a last one of its own, completely.
    void answer(std::vector<prompt_part> parts)
    {
        constexpr std::uint64_t first_own_part = 1'000'000;
        parts.push_back({first_own_part + ++last_id, 100});
        evidence.record_whole_answer(parts, clock.now());
    }

    bool is_quarantined(std::vector<prompt_part> parts)
    {
        return evidence.find_quarantined(parts, clock.now()).has_value();
    }

    manual_clock clock;
    crash_evidence evidence;
    std::uint64_t last_id = 0;
};

// Incident 2026-12-04-prompt-part-crashes-targets: one part crashed one target after the other.
TEST_F(crash_evidence_test, a_part_present_at_three_successive_crashes_is_quarantined)
{
    for (std::uint32_t target = 1; target <= 3; ++target) {
        EXPECT_FALSE(is_quarantined({common, deadly}));
        crash(target, {common, deadly});
    }
    EXPECT_TRUE(is_quarantined({common, deadly}));
    EXPECT_EQ(evidence.take_new_quarantines().size(), 2U);
    EXPECT_FALSE(is_quarantined({common, document}));
}

TEST_F(crash_evidence_test, a_whole_answer_clears_the_shared_part)
{
    for (std::uint32_t target = 1; target <= 5; ++target) {
        crash(target, {common, deadly});
        clock.advance(milliseconds{10});
        answer({common, document});
    }
    EXPECT_TRUE(is_quarantined({common, deadly}));
    EXPECT_TRUE(is_quarantined({deadly}));
    EXPECT_FALSE(is_quarantined({common}));
    EXPECT_EQ(evidence.quarantined_count(), 1U);
}

// Requests to all targets of a pool end at once when it loses power. No part is the cause.
TEST_F(crash_evidence_test, simultaneous_crashes_count_as_one)
{
    const auto sent_at = clock.now();
    for (std::uint32_t target = 1; target <= 12; ++target) {
        clock.advance(milliseconds{10});
        evidence.record_crash(
            {crash_report_id{target}, target_key{target}, std::vector{common}, sent_at},
            clock.now());
    }
    EXPECT_FALSE(is_quarantined({common}));
    EXPECT_EQ(evidence.successive_crashes(std::vector{common}), 1U);
}

// A target that restarts again and again is the home of the same prompts each time.
TEST_F(crash_evidence_test, crashes_of_a_single_target_need_more_evidence)
{
    for (int n = 0; n < 4; ++n) {
        crash(1, {common});
    }
    EXPECT_FALSE(is_quarantined({common}));
    crash(1, {common});
    EXPECT_TRUE(is_quarantined({common}));
}

// A target that closes single connections has not crashed.
TEST_F(crash_evidence_test, a_target_that_still_answers_has_not_crashed)
{
    for (std::uint32_t target = 1; target <= 6; ++target) {
        crash(target, {deadly});
        clock.advance(milliseconds{400});
        evidence.record_sign_of_life(target_key{target}, clock.now());
    }
    EXPECT_FALSE(is_quarantined({deadly}));
    EXPECT_TRUE(evidence.next_news(clock.now()).reports.empty());
}

TEST_F(crash_evidence_test, an_answer_from_before_the_crash_does_not_refute_it)
{
    for (std::uint32_t target = 1; target <= 3; ++target) {
        crash(target, {deadly});
        evidence.record_sign_of_life(target_key{target}, clock.now() + milliseconds{100});
    }
    EXPECT_TRUE(is_quarantined({deadly}));
}

// An answer without length that ends with its connection may be whole, or its target has crashed.
TEST_F(crash_evidence_test, an_answer_that_ends_with_its_connection_is_judged_by_what_follows)
{
    const auto end_answer = [&](std::uint32_t target, std::vector<prompt_part> parts) {
        evidence.record_unconfirmed_answer(
            {crash_report_id{++last_id}, target_key{target}, std::move(parts), clock.now()},
            clock.now());
    };
    for (std::uint32_t target = 1; target <= 3; ++target) {
        clock.advance(seconds{2});
        end_answer(target, {deadly, document});
        clock.advance(milliseconds{400});
        evidence.record_unreachable(target_key{target}, clock.now());
    }
    EXPECT_TRUE(is_quarantined({deadly, document}));
    end_answer(4, {deadly, document});
    clock.advance(seconds{3});
    evidence.record_sign_of_life(target_key{4}, clock.now()); // It may have started again.
    EXPECT_TRUE(is_quarantined({deadly, document}));
    end_answer(4, {deadly, document});
    clock.advance(milliseconds{400});
    evidence.record_sign_of_life(target_key{4}, clock.now());
    EXPECT_FALSE(is_quarantined({deadly, document}));
}

// A part that was always together with a deadly one is cleared by a prompt that has it alone.
TEST_F(crash_evidence_test, parts_seen_only_together_are_quarantined_together)
{
    for (std::uint32_t target = 1; target <= 3; ++target) {
        crash(target, {deadly, document});
    }
    EXPECT_TRUE(is_quarantined({deadly, document}));
    EXPECT_FALSE(is_quarantined({document}));
    EXPECT_FALSE(is_quarantined({deadly}));
    clock.advance(milliseconds{1});
    answer({document});
    EXPECT_TRUE(is_quarantined({deadly}));
    EXPECT_FALSE(is_quarantined({document}));
}

TEST_F(crash_evidence_test, a_quarantine_ends_and_begins_again_with_one_crash)
{
    for (std::uint32_t target = 1; target <= 3; ++target) {
        crash(target, {deadly});
        clock.advance(seconds{20});
    }
    EXPECT_LE(evidence.quarantine_left(part_key{deadly.id}, clock.now()),
              crash_evidence::report_lifetime);
    clock.advance(crash_evidence::report_lifetime - seconds{50});
    EXPECT_FALSE(is_quarantined({deadly}));
    crash(4, {deadly});
    EXPECT_TRUE(is_quarantined({deadly}));
}

// Callers choose the ids of parts, so they may send as many as they like.
TEST_F(crash_evidence_test, the_tables_are_bounded)
{
    for (std::uint64_t n = 0; n < 10'000; ++n) {
        crash(1, {prompt_part{1'000 + n, 1}});
        answer({prompt_part{100'000 + n, 1}});
    }
    EXPECT_LE(evidence.report_count(), crash_evidence::max_reports);
    const auto news = evidence.next_news(clock.now());
    EXPECT_LE(news.reports.size(), max_crash_reports_per_packet);
    EXPECT_LE(news.clearances.size(), max_clearances_per_packet);
}

// Many targets that lose power at once would push the reports of a quarantined part out.
TEST_F(crash_evidence_test, reports_of_other_crashes_do_not_end_a_quarantine)
{
    for (std::uint32_t target = 1; target <= 3; ++target) {
        crash(target, {deadly});
    }
    for (std::uint64_t n = 0; n < 1'000; ++n) {
        crash(10, {prompt_part{1'000 + n, 1}});
    }
    EXPECT_TRUE(is_quarantined({deadly}));
}

/// Returns the parts of a chat with `count` turns, which no other chat has.
std::vector<prompt_part> chat_parts(std::uint64_t chat, std::size_t count)
{
    constexpr std::uint64_t first_id = 1'000'000'000;
    constexpr std::uint64_t ids_per_chat = 1'000;
    std::vector<prompt_part> parts;
    for (std::size_t n = 0; n < count; ++n) {
        parts.push_back({first_id + chat * ids_per_chat + n, 200});
    }
    return parts;
}

// review/5: the deadly part stood behind more new parts than a report names, so that no report
// named it.
TEST_F(crash_evidence_test, a_part_behind_many_new_ones_is_quarantined_wherever_it_stands)
{
    for (const std::size_t turns : {9U, 60U, 199U}) {
        for (const std::size_t place : {std::size_t{0}, turns / 2, turns}) {
            evidence = {};
            std::vector<prompt_part> last;
            for (std::uint32_t n = 1; n <= 3; ++n) {
                last = chat_parts(n, turns);
                last.insert(last.begin() + static_cast<std::ptrdiff_t>(place), deadly);
                crash(n, last);
            }
            EXPECT_TRUE(is_quarantined(last)) << turns << " " << place;
            EXPECT_FALSE(is_quarantined(chat_parts(3, turns))) << turns << " " << place;
        }
    }
}

// Five routers see one crash each, so that none can tell by itself what the prompts share.
TEST_F(crash_evidence_test, routers_that_saw_one_crash_each_find_the_part_that_long_prompts_share)
{
    for (const std::size_t turns : {9U, 60U, 199U}) {
        std::vector<crash_evidence> routers(6); // The last one sees no crash.
        for (std::uint32_t n = 1; n <= 5; ++n) {
            auto parts = chat_parts(n, turns);
            parts.insert(parts.end() - n, deadly);
            const auto sent_at = clock.now();
            clock.advance(milliseconds{200});
            routers[n - 1].record_crash({crash_report_id{n}, target_key{n}, parts, sent_at},
                                        clock.now());
        }
        for (int round = 0; round < 4; ++round) {
            clock.advance(crash_evidence::max_share_interval);
            for (auto& from : routers) {
                const auto news = from.next_news(clock.now());
                for (auto& to : routers) {
                    to.merge(news, clock.now());
                }
            }
        }
        for (auto& it : routers) {
            EXPECT_TRUE(it.find_quarantined(std::vector{deadly}, clock.now())) << turns;
            EXPECT_EQ(it.quarantined_count(), 1U) << turns;
        }
    }
}

// Many parts of other prompts would push out that answers to a common one have just begun, and a
// sound part would be suspected.
TEST_F(crash_evidence_test, long_prompts_do_not_push_out_the_parts_that_began_last)
{
    for (std::uint64_t n = 0; n < 100; ++n) {
        clock.advance(milliseconds{10});
        answer({common});
        answer(chat_parts(n, 200));
        auto copy = evidence;
        copy.record_crash(
            {crash_report_id{1}, target_key{1}, std::vector{common, deadly}, clock.now()},
            clock.now());
        const auto news = copy.next_news(clock.now());
        ASSERT_EQ(news.reports.size(), 1U);
        EXPECT_EQ(news.reports.front().parts, std::vector{part_key{deadly.id}});
    }
}

/// Load of a fleet: requests with common parts come at any router, a share of them has a deadly
/// part. Routers exchange news with two others every 200 ms.
struct fleet_load {
    std::size_t routers = 8;
    double requests_per_second = 20;
    double deadly_share = 0.05;
    bool has_restart = false;   ///< Half of the routers restart at 12 s.
    std::size_t chat_turns = 0; ///< Parts of each prompt that no other has; the deadly one is among
                                ///< them.
};

struct fleet_result {
    int crashes = 0;
    int crashes_late = 0;  ///< By requests sent 3 s or more after the fifth crash.
    int sound_refused = 0; ///< Refused without the deadly part.
};

fleet_result run_fleet(const fleet_load& load)
{
    struct running {
        time_point ends_at;
        std::size_t router;
        std::uint32_t target;
        std::vector<prompt_part> parts;
        time_point sent_at;
    };
    const auto routers = load.routers;
    fleet_result result;
    manual_clock clock;
    random_source random{7};
    std::vector<crash_evidence> fleet(routers);
    std::vector<running> all;
    std::optional<time_point> fifth;
    std::uint64_t last_id = 0;
    std::uint64_t last_chat = 0;
    auto next_exchange = clock.now();
    const auto ends_at = clock.now() + seconds{20};
    const auto restart_at = clock.now() + seconds{12};
    bool has_restarted = !load.has_restart;
    const auto gap = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{1 / load.requests_per_second});
    while (clock.now() < ends_at) {
        clock.advance(gap);
        if (!has_restarted && clock.now() >= restart_at) {
            has_restarted = true;
            for (std::size_t n = 0; n < routers / 2; ++n) {
                fleet[n] = crash_evidence{};
            }
        }
        if (clock.now() >= next_exchange) {
            next_exchange += milliseconds{200};
            for (auto& it : fleet) {
                const auto news = it.next_news(clock.now());
                for (int n = 0; n < 2; ++n) {
                    fleet[random.below(routers)].merge(news, clock.now());
                }
            }
        }
        for (auto& it : all) {
            if (it.ends_at > clock.now()) {
                continue;
            }
            const bool is_deadly = std::any_of(it.parts.begin(), it.parts.end(),
                                               [](const auto& p) { return p.id == deadly.id; });
            if (!is_deadly) {
                fleet[it.router].record_whole_answer(it.parts, clock.now());
                continue;
            }
            ++result.crashes;
            result.crashes_late += fifth && it.sent_at > *fifth + seconds{3} ? 1 : 0;
            if (result.crashes == 5) {
                fifth = clock.now();
            }
            // All requests waiting at the target are lost with it.
            for (auto& lost : all) {
                if (lost.target == it.target) {
                    fleet[lost.router].record_crash({crash_report_id{++last_id},
                                                     target_key{lost.target}, lost.parts,
                                                     lost.sent_at},
                                                    clock.now());
                    lost.ends_at = time_point{};
                }
            }
        }
        std::erase_if(all, [&](const auto& it) { return it.ends_at <= clock.now(); });
        const auto router = random.below(routers);
        std::vector<prompt_part> parts{{1'000 + random.below(5), 1'000}};
        const bool is_deadly = static_cast<double>(random.below(1'000)) < load.deadly_share * 1'000;
        const auto chat = chat_parts(++last_chat, load.chat_turns);
        parts.insert(parts.end(), chat.begin(), chat.end());
        if (is_deadly) {
            const auto place = 1 + random.below(parts.size());
            parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(place), deadly);
        }
        parts.push_back({2'000 + random.below(50), 1'000});
        if (fleet[router].find_quarantined(parts, clock.now())) {
            result.sound_refused += is_deadly ? 0 : 1;
            continue;
        }
        all.push_back({clock.now() + milliseconds{200}, router,
                       static_cast<std::uint32_t>(random.below(12)), parts, clock.now()});
    }
    return result;
}

// Bound of the users' rule: three requests sent 3 s or more after the fifth crash.
TEST(crash_evidence_fleet, few_targets_crash_at_any_size)
{
    for (const std::size_t routers : {8U, 85U, 295U}) {
        const auto rate = 20.0 * static_cast<double>(routers) / 8;
        const auto result = run_fleet({routers, rate});
        SCOPED_TRACE(routers);
        RecordProperty("crashes_" + std::to_string(routers), result.crashes);
        EXPECT_LE(result.crashes_late, 3);
        EXPECT_LE(result.sound_refused, static_cast<int>(rate * 20 / 20));
    }
}

TEST(crash_evidence_fleet, restarted_routers_learn_from_the_others)
{
    const auto result = run_fleet({8, 20, 0.3, true});
    EXPECT_LE(result.crashes_late, 3);
}

// review/5, in a fleet: chats of some turns, no two alike.
TEST(crash_evidence_fleet, few_targets_crash_with_long_prompts)
{
    for (const auto& [routers, turns] :
         {std::pair{8U, 10U}, std::pair{8U, 200U}, std::pair{85U, 30U}, std::pair{295U, 10U}}) {
        const auto rate = 20.0 * static_cast<double>(routers) / 8;
        const auto result = run_fleet({routers, rate, 0.05, false, turns});
        SCOPED_TRACE(std::to_string(routers) + " routers, " + std::to_string(turns) + " turns");
        EXPECT_LE(result.crashes_late, 3);
        EXPECT_LE(result.sound_refused, static_cast<int>(rate * 20 / 20));
    }
}

} // namespace
} // namespace endivelatch
