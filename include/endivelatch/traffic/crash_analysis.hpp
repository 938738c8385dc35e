#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/crash_report.hpp"

#include <cstddef>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace endivelatch {

/// An attempt that ended with the crash of its target.
struct lost_attempt {
    target_key target;
    time_point sent_at{};
    time_point crashed_at{};
    std::span<const part_key> parts; ///< Parts that may have caused the crash, sorted.
};

/// A part that explains several crashes.
struct crash_cause {
    std::vector<part_key> parts; ///< Itself, and those that all attempts with it had as well.
    /// Parts that some of the attempts with it had, at all of its crashes or all but one. If there
    /// are any, one of them may be the real cause, and attempts without it were not concerned.
    std::vector<part_key> narrower;
    std::size_t crashes = 0;
    time_point last_crash{};
    bool is_doubtful = false; ///< Other parts may explain the crashes as well.
};

/// Finds the prompt parts that explain crashes of targets.
///
/// A crash ends all attempts at the target, at any point of their answers, and at most one of them
/// caused it. The attempts that one crash ended are therefore alternatives: a part explains the
/// crash if any of them has it. A part is a cause if it explains several crashes that no other
/// cause explains. Parts that were present in the same attempts are told apart only by an answer
/// to a prompt with some of them; until then, a prompt is held back if it has all of them.
///
/// A part that was present in whole answers before needs more crashes, as it probably shares the
/// prompts or the targets of the real cause.
class crash_analysis {
public:
    /// Groups the attempts by crash. `proven` are the parts that were present in whole answers.
    crash_analysis(std::vector<lost_attempt> attempts, std::unordered_set<part_key> proven);

    /// Returns the crash that ended the attempt, as an index.
    std::size_t crash_of(std::size_t n) const { return crash_of_.at(n); }

    /// Returns the number of attempts that the crash ended.
    std::size_t attempts_of(std::size_t n) const { return crashes_.at(n).attempts; }

    /// Returns the number of crashes at which each part was present, for parts with several.
    std::unordered_map<part_key, std::size_t> count_crashes() const;

    /// Returns the number of successive crashes at which each part was present, for parts with
    /// several crashes. Parts of whole answers are counted less by those that they need beyond
    /// others.
    std::unordered_map<part_key, std::size_t> count_successive() const;

    /// Returns the causes, by part. Parts that are in `known` remain causes with one crash less
    /// than others need.
    std::unordered_map<part_key, crash_cause>
    find_causes(const std::unordered_set<part_key>& known) const;

    /// Successive crashes that make a part a cause: of two targets or more, of one target, and of
    /// a part that was present in whole answers.
    static constexpr std::size_t min_crashes = 3;
    static constexpr std::size_t min_crashes_of_one_target = 5;
    static constexpr std::size_t min_crashes_if_proven = 5;
    /// Crashes that make a part a cause that was in no whole answer, whether or not they are
    /// successive, if `min_crashes` of them are so far apart. A target may crash long after it got
    /// the request, so that few requests are sent after the crash before. Targets that fail
    /// together do so within less time.
    static constexpr std::size_t min_crashes_in_any_order = 5;
    static constexpr duration min_separation{250'000};
    /// Attempts at a target that end within this time were ended by one crash. Routers tell each
    /// other how long ago a crash was, which misses the time on the way.
    static constexpr duration max_report_skew{150'000};

private:
    struct crash_event {
        target_key target;
        time_point at{}; ///< End of the first attempt.
        std::size_t attempts = 0;
    };

    /// Indices of crashes, in order of time, or of attempts; sorted.
    using indices = std::vector<std::size_t>;

    /// Parts that were present in exactly the same attempts.
    struct suspect {
        std::vector<part_key> parts;
        indices attempts;
        indices crashes;
        bool is_proven = false;
    };

    struct found_cause {
        const suspect* of;
        indices crashes; ///< That no narrower cause explains.
        crash_cause cause;
    };

    void group_attempts();
    void find_suspects();
    indices crashes_of(const indices& attempts) const;
    static bool is_narrower(const suspect& a, const suspect& b);
    indices unexplained_crashes(const suspect& it) const;
    indices succession(const suspect& it, const indices& crashes) const;
    std::size_t count_separate(const indices& crashes) const;
    bool is_conclusive(const suspect& it, const indices& crashes) const;
    bool has_unlike_prompts(const suspect& it) const;
    crash_cause make_cause(const suspect& it, const indices& crashes) const;
    void find_doubts(std::vector<found_cause>& causes) const;

    std::vector<lost_attempt> attempts_;
    std::unordered_set<part_key> proven_;
    std::vector<crash_event> crashes_;
    indices crash_of_;              ///< By attempt.
    std::vector<suspect> suspects_; ///< Those present at several crashes.
};

} // namespace endivelatch
