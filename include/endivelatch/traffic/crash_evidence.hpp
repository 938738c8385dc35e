#pragma once

#include "endivelatch/membership/crash_report.hpp"
#include "endivelatch/traffic/crash_analysis.hpp"
#include "endivelatch/traffic/request.hpp"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// An attempt that the crash of its target may have ended.
struct lost_request {
    crash_report_id id;
    target_key target;
    std::vector<prompt_part> parts;
    time_point sent_at{};
    std::uint64_t events = 0; ///< Whole events of the answer that had arrived.
};

/// Quarantines prompt parts that crash the targets that answer them. The last part tells a request
/// that crashes targets whenever it is repeated.
///
/// A target may crash at any point of an answer: before its first byte, amid its events or at its
/// end. Each attempt that ends with its target's connection, however far its answer had come, is
/// therefore evidence of a crash, and only a whole answer shows that the parts of its prompt are
/// sound. It clears them of all earlier crashes. Which parts explain the crashes is found by
/// `crash_analysis`. Routers share reports of crashes and clearances.
///
/// The router that saw a crash holds all parts of the prompt that may have caused it. A report has
/// room for few of them, so it names those that were also present at the most other crashes, in
/// whatever place of the prompt. For that, a report of a longer prompt also carries a filter of all
/// its parts. Only parts that reports name count for a quarantine, as a filter may contain others.
class crash_evidence {
public:
    /// Records that a target closed the connection of a request before its answer was complete.
    void record_crash(const lost_request& request, time_point now);

    /// Records that a target has answered a prompt with the parts completely.
    void record_whole_answer(std::span<const prompt_part> all, time_point now);

    /// Records that an answer ended with its connection, which may be its end or a crash. The next
    /// sign of life of the target shows that it was whole; if the target cannot be reached or other
    /// attempts end at the same time, it was a crash.
    void record_unconfirmed_answer(lost_request&& request, time_point now);

    /// Records that no connection to a target could be established.
    void record_unreachable(target_key target, time_point now);

    /// Records that a target was running. Crashes shortly before did not happen; the target closed
    /// single connections.
    void record_sign_of_life(target_key target, time_point at);

    /// Returns whether a sign of life could refute a crash or confirm an answer now.
    bool awaits_signs_of_life(time_point now) const
    {
        return now - last_end_at_ <= max_refutation_delay;
    }

    /// Adds reports and clearances of another router.
    void merge(const crash_news& news, time_point now);

    /// Returns the reports and clearances to share next, those that were not shared for the longest
    /// time first.
    crash_news next_news(time_point now);

    /// Returns a part of the prompt that is quarantined, if any, with all parts that were present
    /// at each of its crashes.
    std::optional<part_key> find_quarantined(std::span<const prompt_part> all, time_point now);

    /// Returns the quarantined part that a request with the parts may try out now, if any: there is
    /// doubt whether it causes crashes, and the request has no other quarantined part. One router
    /// of the fleet tries a part out, so that few targets crash if it does cause them.
    std::optional<part_key> find_trial(std::span<const prompt_part> all, time_point now) const;

    /// Records that a request tries the part out.
    void record_trial(part_key part, time_point now);

    /// Returns the remaining time of the part's quarantine.
    duration quarantine_left(part_key part, time_point now) const;

    /// Returns the largest number of successive crashes of any part of the prompt. Parts of whole
    /// answers are counted less by the crashes that they need beyond others.
    std::size_t successive_crashes(std::span<const prompt_part> all) const;

    /// Returns the parts that were quarantined since the last call.
    std::vector<part_key> take_new_quarantines();

    /// Returns the number of quarantined parts.
    std::size_t quarantined_count() const { return quarantined_.size(); }

    /// Returns the number of crash reports that are held.
    std::size_t report_count() const { return records_.size(); }

    /// Successive crashes after which a part without whole answers is quarantined.
    static constexpr std::size_t quarantine_threshold = crash_analysis::min_crashes;
    /// Successive crashes from which requests that may have caused the last one are not retried.
    static constexpr std::size_t no_retry_threshold = 2;
    /// Time from the last crash to the first trial of a doubtful part, which doubles with each
    /// trial, the maximum number of trials, and the minimum time between two.
    static constexpr duration first_trial_delay{3'000'000};
    static constexpr std::uint32_t max_trials = 2;
    static constexpr duration min_trial_interval{10'000'000};
    /// Age at which a crash report expires. A single crash after the quarantine starts it again
    /// while other reports are left.
    static constexpr duration report_lifetime{600'000'000};
    /// Time for which a clearance is shared.
    static constexpr duration clearance_lifetime{60'000'000};
    /// A part with a whole answer within this time before a crash is suspected only if the prompt
    /// has no other part.
    static constexpr duration recent_answer{2'000'000};
    /// Signs of life within this time after a crash refute it. Answers that arrived before it may
    /// be processed up to the minimum later; a crashed target takes longer than the maximum to
    /// start.
    static constexpr duration min_refutation_delay{300'000};
    static constexpr duration max_refutation_delay{1'500'000};
    /// Interval at which a report or clearance is shared: a tenth of its age, within these bounds.
    static constexpr duration min_share_interval{100'000};
    static constexpr duration max_share_interval{300'000};
    /// Maximum number of reports, of crashes with the same quarantined part, of parts whose answers
    /// are remembered, and of answers that await a sign of life.
    static constexpr std::size_t max_reports = 128;
    static constexpr std::size_t max_crashes_per_part = 8;
    static constexpr std::size_t max_answered_parts = 4'096;
    static constexpr std::size_t max_unconfirmed_answers = 64;
    /// Maximum number of parts of a prompt that are held, those with the least recent whole answers
    /// first, and of parts that are held of a prompt that another router has reported.
    static constexpr std::size_t max_suspects = 512;
    static constexpr std::size_t max_named_suspects = 64;

private:
    struct crash_record {
        crash_report_id id;
        target_key target;
        time_point sent_at{};
        time_point crashed_at{};
        std::vector<part_key> parts; ///< Sorted.
        part_filter all_parts;       ///< Of a report that does not name all its parts; else empty.
        std::uint64_t events = 0;    ///< Whole events of the answer, if this router saw the crash.
        /// A part that may be shared was in no whole answer, or another router reported the crash.
        bool suspects_shared_part = true;
        bool is_refuted = false;
        std::size_t crash = 0;             ///< Index of its crash in the last analysis.
        std::size_t attempts_of_crash = 1; ///< Reports of that crash.
        time_point shared_at{};       ///< Zero if not shared with the parts to name at present.
        std::vector<part_key> named;  ///< Parts to name when it is shared.
        bool is_shared_first = false; ///< Names a part that was present at other crashes.

        bool may_be_due_to(part_key part) const;
        bool has_suspects() const { return !parts.empty() || !all_parts.empty(); }
    };

    /// An answer that ended with its connection.
    struct unconfirmed_answer {
        lost_request request;
        time_point ended_at{};
    };

    /// Last whole answer to a prompt with the part.
    struct answered_part {
        part_key part;
        time_point at{};
        bool is_clearance = false; ///< Cleared a suspected part; shared with other routers.
        time_point shared_at{};
        bool is_shared_first = false;
    };

    /// Requests that were sent to try out a quarantined part.
    struct trial {
        std::uint32_t count = 0;
        time_point at{}; ///< The last one.
    };

    void add(const lost_request& request, time_point crashed_at, time_point now);
    void add(crash_record&& record, time_point now);
    std::vector<unconfirmed_answer> take_unconfirmed(target_key target, time_point from,
                                                     time_point to);
    void add_unconfirmed(target_key target, time_point from, time_point to, time_point now);
    void update(crash_record& known, const crash_report& news);
    void remove_least_useful();
    void limit_answered_parts(time_point now);
    bool note_answer(part_key part, time_point at, bool was_shared);
    void remove_cleared_parts();
    bool remove_cleared_parts(crash_record& record);
    bool was_cleared(part_key part, time_point since) const;
    void update_named_parts();
    std::vector<part_key> select_parts(const crash_record& record) const;
    std::size_t count_other_crashes(const crash_record& record, part_key part) const;
    std::vector<crash_report> next_reports(time_point now);
    std::vector<part_clearance> next_clearances(time_point now);
    void expire(time_point now);
    crash_analysis analyse();
    void update_causes();
    std::vector<part_key> all_quarantined(std::span<const prompt_part> all) const;

    std::vector<crash_record> records_;           ///< In order of arrival.
    std::vector<unconfirmed_answer> unconfirmed_; ///< In order of time.
    std::unordered_map<part_key, answered_part> answered_;
    /// Crashes and successive crashes at which a part was present, of parts with several crashes.
    std::unordered_map<part_key, std::size_t> crashes_with_;
    std::unordered_map<part_key, std::size_t> successive_;
    std::unordered_map<part_key, crash_cause> quarantined_;
    std::vector<part_key> new_quarantines_;
    std::unordered_map<part_key, trial> trials_; ///< Of quarantined parts.
    time_point last_end_at_{};              ///< Last end of an attempt that may have been a crash.
    bool are_causes_outdated_ = false;      ///< Reports or answers have changed since.
    bool are_named_parts_outdated_ = false; ///< Reports have changed since they were selected.
};

} // namespace endivelatch
