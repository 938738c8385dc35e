#pragma once

#include "endivelatch/membership/crash_report.hpp"
#include "endivelatch/traffic/request.hpp"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// Finds prompt parts that crash the targets that begin to answer them, and quarantines them. The
/// last part tells a request that crashes targets whenever it is repeated.
///
/// A crash ends all requests of a target, so a single one says little. A part is quarantined after
/// several crashes in succession: each at the end of a request that was sent after the crash
/// before. Any answer that begins clears the parts of its prompt of all earlier crashes. Parts that
/// many prompts share are therefore cleared soon, even if they are present at each crash. Parts
/// that were only seen together are quarantined together, so that a prompt with one of them shows
/// which one it is. Routers share reports of crashes and clearances.
///
/// The router that saw a crash holds all parts of the prompt that may have caused it. A report has
/// room for few of them, so it names those that were also present at the most other crashes, in
/// whatever place of the prompt. For that, a report of a longer prompt also carries a filter of all
/// its parts. Only parts that reports name count for a quarantine, as a filter may contain others.
class crash_evidence {
public:
    /// Records that a target closed the connection of a request before its answer began.
    void record_crash(crash_report_id id, target_key target, std::span<const prompt_part> all,
                      time_point sent_at, time_point now);

    /// Records that the answer to a prompt has begun.
    void record_begin(std::span<const prompt_part> shared, time_point now);

    /// Records that the answer to a prompt with the part has begun, if a report suspects the part.
    /// For the last part of a prompt: few other prompts have it, so it is not worth remembering
    /// otherwise.
    void record_begin_of_suspect(const prompt_part& part, time_point now);

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
    std::optional<part_key> find_quarantined(std::span<const prompt_part> all, time_point now);

    /// Returns the remaining time of the part's quarantine.
    duration quarantine_left(part_key part, time_point now) const;

    /// Returns the largest number of successive crashes of any part of the prompt.
    std::size_t successive_crashes(std::span<const prompt_part> all) const;

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
    /// Maximum number of parts of a prompt that are held, those that began least recently first,
    /// and of parts that are held of a prompt that another router has reported.
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
        bool is_refuted = false;
        time_point shared_at{};        ///< Zero if not shared with the parts to name at present.
        std::vector<part_key> named{}; ///< Parts to name when it is shared.
        bool is_shared_first = false;  ///< Names a part that was present at other crashes.

        bool may_be_due_to(part_key part) const;
        bool has_suspects() const { return !parts.empty() || !all_parts.empty(); }
    };

    /// Last begin of an answer to a prompt with the part.
    struct begun_part {
        part_key part;
        time_point at{};
        bool is_clearance = false; ///< Cleared a suspected part; shared with other routers.
        time_point shared_at{};
        bool is_shared_first = false;
    };

    void add(crash_record&& record, time_point now);
    void update(crash_record& known, const crash_report& news);
    void remove_least_useful();
    void limit_begun_parts(time_point now);
    bool note_begin(part_key part, time_point at, bool was_shared);
    void remove_cleared_parts();
    bool remove_cleared_parts(crash_record& record);
    bool was_cleared(part_key part, time_point since) const;
    void update_named_parts();
    std::vector<part_key> select_parts(const crash_record& record) const;
    std::size_t count_other_crashes(const crash_record& record, part_key part) const;
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
    bool are_named_parts_outdated_ = false; ///< Reports have changed since they were selected.
};

} // namespace endivelatch
