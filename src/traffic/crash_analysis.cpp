#include "endivelatch/traffic/crash_analysis.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace endivelatch {

namespace {

using indices = std::vector<std::size_t>;

indices intersect(const indices& a, const indices& b)
{
    indices both;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(both));
    return both;
}

indices subtract(const indices& from, const indices& what)
{
    indices rest;
    std::set_difference(from.begin(), from.end(), what.begin(), what.end(),
                        std::back_inserter(rest));
    return rest;
}

bool contains(const std::vector<part_key>& parts, part_key part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

crash_analysis::crash_analysis(std::vector<lost_attempt> attempts,
                               std::unordered_set<part_key> proven)
    : attempts_{std::move(attempts)}, proven_{std::move(proven)}
{
    group_attempts();
    find_suspects();
}

/// Assigns each attempt to a crash. An attempt that was sent before a crash of its target belongs
/// to that crash, even if its router noticed the end much later.
void crash_analysis::group_attempts()
{
    indices order(attempts_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [this](auto a, auto b) {
        const auto key = [this](auto n) {
            return std::tie(attempts_[n].target, attempts_[n].crashed_at);
        };
        return key(a) < key(b);
    });
    std::vector<std::pair<crash_event, indices>> groups;
    for (const auto n : order) {
        const auto& it = attempts_[n];
        const bool is_same = !groups.empty() && groups.back().first.target == it.target &&
                             (it.sent_at < groups.back().first.at ||
                              it.crashed_at - groups.back().first.at < max_report_skew);
        if (!is_same) {
            groups.push_back({{it.target, it.crashed_at, 0}, {}});
        }
        groups.back().second.push_back(n);
    }
    std::stable_sort(groups.begin(), groups.end(),
                     [](const auto& a, const auto& b) { return a.first.at < b.first.at; });
    crash_of_.resize(attempts_.size());
    for (auto& [event, members] : groups) {
        event.attempts = members.size();
        for (const auto n : members) {
            crash_of_[n] = crashes_.size();
        }
        crashes_.push_back(event);
    }
}

/// Finds the parts that were present at several crashes, those of the same attempts together.
void crash_analysis::find_suspects()
{
    std::vector<std::pair<part_key, std::size_t>> present;
    for (std::size_t n = 0; n < attempts_.size(); ++n) {
        for (const auto part : attempts_[n].parts) {
            present.emplace_back(part, n);
        }
    }
    std::sort(present.begin(), present.end());
    std::map<std::pair<bool, indices>, std::size_t> known;
    for (auto it = present.begin(); it != present.end();) {
        const auto part = it->first;
        indices attempts;
        for (; it != present.end() && it->first == part; ++it) {
            attempts.push_back(it->second);
        }
        auto crashes = crashes_of(attempts);
        if (crashes.size() < 2) {
            continue;
        }
        const bool is_proven = proven_.contains(part);
        const auto [found, is_new] = known.try_emplace({is_proven, attempts}, suspects_.size());
        if (is_new) {
            suspects_.push_back({{}, std::move(attempts), std::move(crashes), is_proven});
        }
        suspects_[found->second].parts.push_back(part);
    }
}

crash_analysis::indices crash_analysis::crashes_of(const indices& attempts) const
{
    std::set<std::size_t> crashes;
    for (const auto n : attempts) {
        crashes.insert(crash_of_[n]);
    }
    return {crashes.begin(), crashes.end()};
}

/// Returns whether all attempts of the one had the other as well, and not the other way round.
bool crash_analysis::is_narrower(const suspect& a, const suspect& b)
{
    return a.attempts.size() < b.attempts.size() &&
           std::includes(b.attempts.begin(), b.attempts.end(), a.attempts.begin(),
                         a.attempts.end());
}

/// Returns the crashes that the suspect explains and no narrower cause does.
crash_analysis::indices crash_analysis::unexplained_crashes(const suspect& it) const
{
    auto unexplained = it.crashes;
    for (const auto& other : suspects_) {
        if (!other.is_proven && is_narrower(other, it) && is_conclusive(other, other.crashes)) {
            unexplained = subtract(unexplained, other.crashes);
        }
    }
    return unexplained;
}

/// Returns the longest series of the crashes in which an attempt of the suspect was sent after the
/// crash before.
crash_analysis::indices crash_analysis::succession(const suspect& it, const indices& crashes) const
{
    std::map<std::size_t, time_point> last_sent;
    for (const auto n : it.attempts) {
        auto& sent_at = last_sent[crash_of_[n]];
        sent_at = std::max(sent_at, attempts_[n].sent_at);
    }
    indices series;
    for (const auto n : crashes) {
        if (series.empty() || last_sent.at(n) >= crashes_[series.back()].at) {
            series.push_back(n);
        }
    }
    return series;
}

/// Returns the number of the crashes that are `min_separation` or more after the one before.
std::size_t crash_analysis::count_separate(const indices& crashes) const
{
    std::size_t count = 0;
    time_point last{};
    for (const auto n : crashes) {
        if (count == 0 || crashes_[n].at - last >= min_separation) {
            ++count;
            last = crashes_[n].at;
        }
    }
    return count;
}

/// Returns whether the crashes are enough to take the suspect for their cause.
bool crash_analysis::is_conclusive(const suspect& it, const indices& crashes) const
{
    const auto series = succession(it, crashes);
    if (it.is_proven) {
        return series.size() >= min_crashes_if_proven;
    }
    std::set<target_key> targets;
    for (const auto n : series) {
        targets.insert(crashes_[n].target);
    }
    return series.size() >= (targets.size() > 1 ? min_crashes : min_crashes_of_one_target) ||
           (crashes.size() >= min_crashes_in_any_order && count_separate(crashes) >= min_crashes);
}

/// Returns whether the attempts of the suspect were not all of one prompt.
bool crash_analysis::has_unlike_prompts(const suspect& it) const
{
    const auto& first = attempts_[it.attempts.front()].parts;
    return std::any_of(it.attempts.begin(), it.attempts.end(), [&](auto n) {
        const auto& parts = attempts_[n].parts;
        return !std::equal(parts.begin(), parts.end(), first.begin(), first.end());
    });
}

/// Returns the suspect as the cause of the crashes, with the parts that were present with it.
crash_cause crash_analysis::make_cause(const suspect& it, const indices& crashes) const
{
    crash_cause cause;
    cause.parts = it.parts;
    cause.crashes = crashes.size();
    cause.last_crash = crashes_[crashes.back()].at;
    for (const auto& other : suspects_) {
        if (&other == &it || (other.is_proven && !it.is_proven)) {
            continue;
        }
        if (is_narrower(it, other)) {
            cause.parts.insert(cause.parts.end(), other.parts.begin(), other.parts.end());
            continue;
        }
        const auto common = intersect(crashes, other.crashes).size();
        if (!other.is_proven && is_narrower(other, it) && common + 1 >= crashes.size() &&
            crashes.size() >= min_crashes && has_unlike_prompts(other)) {
            cause.narrower.insert(cause.narrower.end(), other.parts.begin(), other.parts.end());
        }
    }
    return cause;
}

std::unordered_map<part_key, std::size_t> crash_analysis::count_crashes() const
{
    std::unordered_map<part_key, std::size_t> counts;
    for (const auto& it : suspects_) {
        for (const auto part : it.parts) {
            counts.emplace(part, it.crashes.size());
        }
    }
    return counts;
}

std::unordered_map<part_key, std::size_t> crash_analysis::count_successive() const
{
    constexpr auto needed_beyond = min_crashes_if_proven - min_crashes;
    std::unordered_map<part_key, std::size_t> counts;
    for (const auto& it : suspects_) {
        const auto count = succession(it, it.crashes).size();
        for (const auto part : it.parts) {
            counts.emplace(part, it.is_proven ? count - std::min(count, needed_beyond) : count);
        }
    }
    return counts;
}

std::unordered_map<part_key, crash_cause>
crash_analysis::find_causes(const std::unordered_set<part_key>& known) const
{
    std::vector<const suspect*> order;
    for (const auto& it : suspects_) {
        if (it.crashes.size() >= min_crashes) {
            order.push_back(&it);
        }
    }
    // Those that explain most crashes first, of these the ones with the fewest attempts.
    std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
        return std::tuple{a->is_proven, b->crashes.size(), a->attempts.size(), a->parts.front()} <
               std::tuple{b->is_proven, a->crashes.size(), b->attempts.size(), b->parts.front()};
    });
    std::vector<found_cause> causes;
    for (const auto* it : order) {
        auto crashes = unexplained_crashes(*it);
        for (const auto& other : causes) {
            if (it->is_proven && !contains(other.cause.parts, it->parts.front())) {
                crashes = subtract(crashes, other.crashes);
            }
        }
        const auto needed = it->is_proven ? min_crashes_if_proven : min_crashes;
        const bool is_known = known.contains(it->parts.front()) && crashes.size() + 1 >= needed &&
                              is_conclusive(*it, it->crashes);
        if (is_known || is_conclusive(*it, crashes)) {
            auto cause = make_cause(*it, crashes);
            causes.push_back({it, std::move(crashes), std::move(cause)});
        }
    }
    find_doubts(causes);
    std::unordered_map<part_key, crash_cause> by_part;
    for (const auto& it : causes) {
        for (const auto part : it.of->parts) {
            by_part.emplace(part, it.cause);
        }
    }
    return by_part;
}

/// Marks the causes that would not be ones if another cause, or several narrower parts, explained
/// all crashes that they can.
void crash_analysis::find_doubts(std::vector<found_cause>& causes) const
{
    for (auto& it : causes) {
        auto rest = it.crashes;
        for (const auto& other : suspects_) {
            if (!other.is_proven && is_narrower(other, *it.of) && has_unlike_prompts(other)) {
                rest = subtract(rest, other.crashes);
            }
        }
        it.cause.is_doubtful = !is_conclusive(*it.of, rest);
        for (const auto& other : causes) {
            const bool are_together = contains(other.cause.parts, it.of->parts.front()) ||
                                      contains(it.cause.parts, other.of->parts.front());
            it.cause.is_doubtful =
                it.cause.is_doubtful ||
                (!are_together && !is_conclusive(*it.of, subtract(it.crashes, other.crashes)));
        }
    }
}

} // namespace endivelatch
