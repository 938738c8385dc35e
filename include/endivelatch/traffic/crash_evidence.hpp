#pragma once

#include "endivelatch/membership/crash_report.hpp"
#include "endivelatch/traffic/request.hpp"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// Finds prompt parts that crash the targets that begin to answer them, and quarantines them.
///
/// A crash ends all requests of a target, so a single one says little. A part is quarantined after
/// several crashes in succession: each at the end of a request that was sent after the crash
/// before. Any answer that begins clears the parts of its prompt of all earlier crashes. Parts that
/// many prompts share are therefore cleared soon, even if they are present at each crash. Parts
/// that were only seen together are quarantined together, so that a prompt with one of them shows
/// which one it is. Routers share reports of crashes and clearances.
class crash_evidence {
public:
    /// Records that a target closed the connection of a request before its answer began.
    void record_crash(crash_report_id id, target_key target, std::span<const prompt_part> shared,
                      time_point sent_at, time_point now);

    /// Records that the answer to a prompt has begun.
    void record_begin(std::span<const prompt_part> shared, time_point now);

    /// Records that a target was running. Crashes shortly before did not happen; the target closed
    /// single connections.
    void record_sign_of_life(target_key target, time_point at);

    /// Adds reports and clearances of another router.
    void merge(const crash_news& news, time_point now);

    /// Returns the reports and clearances to share next, those that were not shared for the longest
    /// time first.
    crash_news next_news(time_point now);

    /// Returns a part of the prompt that is quarantined, if any, with all parts that were present
    /// at each of its crashes.
    std::optional<part_key> find_quarantined(std::span<const prompt_part> shared, time_point now);

    /// Returns the remaining time of the part's quarantine.
    duration quarantine_left(part_key part, time_point now) const;

    /// Returns the largest number of successive crashes of any part of the prompt.
    std::size_t successive_crashes(std::span<const prompt_part> shared) const;

    /// Returns the parts that were quarantined since the last call.
    std::vector<part_key> take_new_quarantines();

    /// Returns the number of quarantined parts.
    std::size_t quarantined_count() const { return quarantined_.size(); }

    /// Returns the number of crash reports that are held.
    std::size_t report_count() const { return records_.size(); }

    /// Successive crashes after which a part is quarantined, if they were of at least two targets,
    /// and if they were all of one target.
    static constexpr std::size_t quarantine_threshold = 3;
    static constexpr std::size_t one_target_threshold = 5;
    /// Successive crashes from which requests that may have caused the last one are not retried.
    static constexpr std::size_t no_retry_threshold = 2;
    /// Age at which a crash report expires. A single crash after the quarantine starts it again
    /// while other reports are left.
    static constexpr duration report_lifetime{600'000'000};
    /// Time for which begun answers are remembered.
    static constexpr duration clearance_lifetime{60'000'000};
    /// A part whose answers began within this time before a crash is suspected only if the prompt
    /// has no other part.
    static constexpr duration recent_begin{2'000'000};
    /// Signs of life within this time after a crash refute it. Answers that arrived before it may
    /// be processed up to the minimum later; a crashed target takes longer than the maximum to
    /// start.
    static constexpr duration min_refutation_delay{300'000};
    static constexpr duration max_refutation_delay{1'500'000};
    /// Interval at which a report or clearance is shared: a tenth of its age, within these bounds.
    static constexpr duration min_share_interval{100'000};
    static constexpr duration max_share_interval{300'000};
    /// Maximum number of reports, of reports with the same quarantined part, and of parts whose
    /// answers are remembered.
    static constexpr std::size_t max_reports = 64;
    static constexpr std::size_t max_reports_per_part = 8;
    static constexpr std::size_t max_begun_parts = 4'096;

private:
    struct crash_record {
        crash_report_id id;
        target_key target;
        time_point sent_at{};
        time_point crashed_at{};
        std::vector<part_key> parts;
        bool is_refuted = false;
        time_point shared_at{};

        bool may_be_due_to(part_key part) const;
    };

    /// Last begin of an answer to a prompt with the part.
    struct begun_part {
        part_key part;
        time_point at{};
        bool is_clearance = false; ///< Cleared a suspected part; shared with other routers.
        time_point shared_at{};
    };

    void add(crash_record&& record, time_point now);
    void remove_least_useful();
    void clear_part(part_key part, time_point at, bool was_shared);
    bool remove_cleared_parts(crash_record& record);
    std::vector<crash_report> next_reports(time_point now);
    std::vector<part_clearance> next_clearances(time_point now);
    void expire(time_point now);
    void update_quarantine();
    bool is_conclusive(part_key part) const;
    std::vector<const crash_record*> reports_of(part_key part) const;
    std::vector<const crash_record*> succession(part_key part) const;
    std::vector<part_key> common_parts(part_key part) const;

    std::vector<crash_record> records_; ///< In order of arrival.
    std::unordered_map<part_key, begun_part> begun_;
    /// The parts that were present at each crash of a quarantined part, including itself.
    std::unordered_map<part_key, std::vector<part_key>> quarantined_;
    std::vector<part_key> new_quarantines_;
};

} // namespace endivelatch
