#include "endivelatch/traffic/crash_evidence.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace endivelatch {

namespace {

duration share_interval(duration age)
{
    return std::clamp(age / 10, crash_evidence::min_share_interval,
                      crash_evidence::max_share_interval);
}

void sort_unique(std::vector<part_key>& parts)
{
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
}

/// Returns the filter to send with a report of the parts: the received one if there is one. It is
/// empty if the report names all parts.
part_filter all_parts_of(const std::vector<part_key>& parts, const part_filter& received)
{
    if (!received.empty() || parts.size() <= max_parts_per_crash_report) {
        return received;
    }
    part_filter filter;
    for (const auto part : parts) {
        filter.add(part);
    }
    return filter;
}

/// Returns up to `max_count` of the entries, those shared longest ago first.
template <class Entry>
std::vector<Entry*> select_first(std::vector<Entry*> entries, std::size_t max_count)
{
    std::stable_sort(entries.begin(), entries.end(), [](const auto* a, const auto* b) {
        return std::tie(b->is_shared_first, a->shared_at) <
               std::tie(a->is_shared_first, b->shared_at);
    });
    entries.resize(std::min(entries.size(), max_count));
    return entries;
}

} // namespace

void crash_evidence::record_crash(const lost_request& request, time_point now)
{
    add(request, now, now);
    add_unconfirmed(request.target, now - crash_analysis::max_report_skew, now, now);
    update_causes();
}

void crash_evidence::record_unconfirmed_answer(lost_request&& request, time_point now)
{
    last_end_at_ = std::max(last_end_at_, now);
    std::erase_if(unconfirmed_,
                  [&](const auto& it) { return now - it.ended_at > max_refutation_delay; });
    if (unconfirmed_.size() >= max_unconfirmed_answers) {
        unconfirmed_.erase(unconfirmed_.begin());
    }
    const auto target = request.target;
    unconfirmed_.push_back({std::move(request), now});
    const bool has_crashed = std::any_of(records_.begin(), records_.end(), [&](const auto& it) {
        return it.target == target && !it.is_refuted &&
               now - it.crashed_at < crash_analysis::max_report_skew;
    });
    if (has_crashed) {
        add_unconfirmed(target, now, now, now);
        update_causes();
    }
}

void crash_evidence::record_unreachable(target_key target, time_point now)
{
    if (!unconfirmed_.empty()) {
        add_unconfirmed(target, now - max_refutation_delay, now, now);
        update_causes();
    }
}

/// Removes and returns the unconfirmed answers of the target that ended in the given time.
std::vector<crash_evidence::unconfirmed_answer>
crash_evidence::take_unconfirmed(target_key target, time_point from, time_point to)
{
    const auto first = std::stable_partition(
        unconfirmed_.begin(), unconfirmed_.end(), [&](const unconfirmed_answer& it) {
            return it.request.target != target || it.ended_at < from || it.ended_at > to;
        });
    std::vector<unconfirmed_answer> taken{std::make_move_iterator(first),
                                          std::make_move_iterator(unconfirmed_.end())};
    unconfirmed_.erase(first, unconfirmed_.end());
    return taken;
}

/// Adds the unconfirmed answers of the target that ended in the given time as crashes.
void crash_evidence::add_unconfirmed(target_key target, time_point from, time_point to,
                                     time_point now)
{
    for (const auto& it : take_unconfirmed(target, from, to)) {
        add(it.request, it.ended_at, now);
    }
}

/// Adds a report of a crash that this router saw.
void crash_evidence::add(const lost_request& request, time_point crashed_at, time_point now)
{
    const std::span<const prompt_part> all{request.parts};
    last_end_at_ = std::max(last_end_at_, crashed_at);
    // Those with the least recent whole answers first, those without any before all.
    std::vector<std::pair<time_point, part_key>> suspects;
    suspects.reserve(all.size());
    for (const auto& it : all) {
        const auto answered = answered_.find(part_key{it.id});
        suspects.emplace_back(answered == answered_.end() ? time_point::min() : answered->second.at,
                              part_key{it.id});
    }
    std::stable_sort(suspects.begin(), suspects.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    crash_record record{};
    record.id = request.id;
    record.target = request.target;
    record.sent_at = request.sent_at;
    record.crashed_at = crashed_at;
    record.events = request.events;
    for (const auto& [answered_at, part] : suspects) {
        const bool is_sound = answered_at != time_point::min() && now - answered_at < recent_answer;
        if (record.parts.size() < max_suspects && (!is_sound || record.parts.empty())) {
            record.parts.push_back(part);
        }
    }
    sort_unique(record.parts);
    const auto shared = all.first(all.empty() ? 0 : all.size() - 1);
    record.suspects_shared_part = std::any_of(shared.begin(), shared.end(), [&](const auto& it) {
        return !answered_.contains(part_key{it.id});
    });
    add(std::move(record), now);
}

void crash_evidence::add(crash_record&& record, time_point now)
{
    expire(now);
    const bool is_known = std::any_of(records_.begin(), records_.end(),
                                      [&](const auto& it) { return it.id == record.id; });
    if (is_known || !remove_cleared_parts(record)) {
        return;
    }
    const bool is_needless = std::any_of(record.parts.begin(), record.parts.end(), [&](auto part) {
        const auto found = quarantined_.find(part);
        return found != quarantined_.end() && found->second.parts.size() == 1 &&
               found->second.narrower.empty() && found->second.crashes >= max_crashes_per_part;
    });
    if (is_needless) {
        return;
    }
    if (records_.size() >= max_reports) {
        remove_least_useful();
    }
    records_.push_back(std::move(record));
    are_causes_outdated_ = true;
}

/// Adds what a report of a known crash tells beyond what is held of it. The report may name other
/// parts than before, and names all of them once they are few.
void crash_evidence::update(crash_record& known, const crash_report& news)
{
    if (known.all_parts.empty()) {
        return; // All parts are known.
    }
    known.all_parts = news.all_parts;
    auto parts = news.parts;
    if (!news.all_parts.empty() && known.parts.size() < max_named_suspects) {
        parts.insert(parts.end(), known.parts.begin(), known.parts.end());
    }
    std::erase_if(parts, [&](auto part) { return was_cleared(part, known.crashed_at); });
    sort_unique(parts);
    if (parts != known.parts) {
        known.parts = std::move(parts);
        are_causes_outdated_ = true;
    }
}

/// Removes the report that says least about the cause of crashes: a refuted one, else one whose
/// parts were present at the fewest other crashes. One crash of a busy target gives many reports,
/// so the largest of the crashes loses one first.
void crash_evidence::remove_least_useful()
{
    const auto usefulness = [this](const crash_record& it) {
        std::size_t crashes = 0;
        bool is_evidence = false;
        for (const auto part : it.parts) {
            const auto found = crashes_with_.find(part);
            const bool is_counted = found != crashes_with_.end() && !answered_.contains(part);
            crashes = std::max(crashes, is_counted ? found->second : 0);
            is_evidence = is_evidence || quarantined_.contains(part);
        }
        return std::tuple{!it.is_refuted, is_evidence, crashes, it.suspects_shared_part,
                          -static_cast<std::int64_t>(it.attempts_of_crash)};
    };
    records_.erase(
        std::min_element(records_.begin(), records_.end(), [&](const auto& a, const auto& b) {
            return usefulness(a) < usefulness(b);
        }));
}

bool crash_evidence::was_cleared(part_key part, time_point since) const
{
    const auto answered = answered_.find(part);
    return answered != answered_.end() && answered->second.at > since;
}

/// Removes the parts that were cleared after the crash. Returns whether any is left.
bool crash_evidence::remove_cleared_parts(crash_record& record)
{
    std::erase_if(record.parts, [&](auto part) {
        const bool is_cleared = was_cleared(part, record.crashed_at);
        if (is_cleared) {
            answered_.at(part).is_clearance = true;
        }
        return is_cleared;
    });
    return record.has_suspects();
}

/// Removes the cleared parts of all reports.
void crash_evidence::remove_cleared_parts()
{
    std::erase_if(records_, [this](auto& it) { return !remove_cleared_parts(it); });
    are_causes_outdated_ = true;
}

/// Forgets those answered before half of the others, if they are too many.
void crash_evidence::limit_answered_parts(time_point now)
{
    if (answered_.size() <= max_answered_parts) {
        return;
    }
    std::erase_if(answered_, [&](const auto& it) {
        return now - it.second.at > clearance_lifetime / 2 && !it.second.is_clearance;
    });
    if (answered_.size() <= max_answered_parts) {
        return;
    }
    std::vector<time_point> times;
    times.reserve(answered_.size());
    for (const auto& [part, it] : answered_) {
        times.push_back(it.at);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(answered_, [&](const auto& it) { return it.second.at <= *middle; });
}

void crash_evidence::record_whole_answer(std::span<const prompt_part> all, time_point now)
{
    if (all.empty()) {
        return;
    }
    limit_answered_parts(now);
    bool has_changed = false;
    for (const auto& it : all.first(all.size() - 1)) {
        has_changed = note_answer(part_key{it.id}, now, false) || has_changed;
    }
    // Few other prompts have the last part, so it is remembered only if a report suspects it.
    const part_key last{all.back().id};
    const bool is_suspect = std::any_of(records_.begin(), records_.end(),
                                        [&](const auto& it) { return it.may_be_due_to(last); });
    if (is_suspect) {
        has_changed = note_answer(last, now, false) || has_changed;
    }
    if (has_changed) {
        remove_cleared_parts();
        update_causes();
    }
}

/// Records that an answer to a prompt with the part was whole. Returns whether a report suspects
/// the part of an earlier crash.
bool crash_evidence::note_answer(part_key part, time_point at, bool was_shared)
{
    auto& answered = answered_.try_emplace(part, answered_part{.part = part}).first->second;
    if (answered.at >= at) {
        return false;
    }
    answered.at = at;
    answered.is_clearance = answered.is_clearance || was_shared;
    return std::any_of(records_.begin(), records_.end(), [&](const auto& it) {
        return it.crashed_at < at && it.may_be_due_to(part);
    });
}

void crash_evidence::record_sign_of_life(target_key target, time_point at)
{
    bool has_changed = false;
    for (auto& it : records_) {
        const auto delay = at - it.crashed_at;
        if (it.target == target && !it.is_refuted && delay > min_refutation_delay &&
            delay <= max_refutation_delay) {
            it.is_refuted = true;
            has_changed = true;
        }
    }
    if (has_changed) {
        are_causes_outdated_ = true;
        update_causes();
    }
    for (const auto& it :
         take_unconfirmed(target, at - max_refutation_delay, at - min_refutation_delay)) {
        record_whole_answer(it.request.parts, it.ended_at);
    }
}

void crash_evidence::merge(const crash_news& news, time_point now)
{
    bool has_changed = false;
    for (const auto& it : news.clearances) {
        if (it.age >= report_lifetime) {
            continue;
        }
        // A part of a whole answer needs more crashes, even if the answer is older than they are.
        const bool is_first = !answered_.contains(it.part) && crashes_with_.contains(it.part);
        are_causes_outdated_ = are_causes_outdated_ || is_first;
        has_changed = note_answer(it.part, now - it.age, true) || has_changed;
    }
    if (has_changed) {
        remove_cleared_parts();
    }
    for (const auto& it : news.reports) {
        if (it.age >= report_lifetime || it.parts.size() > max_parts_per_crash_report) {
            continue;
        }
        const auto known = std::find_if(records_.begin(), records_.end(),
                                        [&](const auto& record) { return record.id == it.id; });
        if (known != records_.end()) {
            update(*known, it);
            continue;
        }
        crash_record record{};
        record.id = it.id;
        record.target = it.target;
        record.crashed_at = now - it.age;
        record.sent_at = record.crashed_at - it.held;
        record.parts = it.parts;
        record.all_parts = it.all_parts;
        sort_unique(record.parts);
        last_end_at_ = std::max(last_end_at_, record.crashed_at);
        add_unconfirmed(record.target, record.crashed_at - crash_analysis::max_report_skew,
                        record.crashed_at + crash_analysis::max_report_skew, now);
        add(std::move(record), now);
    }
    update_causes();
}

crash_news crash_evidence::next_news(time_point now)
{
    return {next_reports(now), next_clearances(now)};
}

std::vector<crash_report> crash_evidence::next_reports(time_point now)
{
    update_named_parts();
    std::vector<crash_record*> due;
    due.reserve(records_.size());
    for (auto& it : records_) {
        if (!it.is_refuted && now - it.shared_at >= share_interval(now - it.crashed_at)) {
            due.push_back(&it);
        }
    }
    // Others cannot have seen a part that only this request has. A target that crashes as it begins
    // an answer has sent few events of it.
    std::stable_sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
        return std::tie(b->suspects_shared_part, a->events) <
               std::tie(a->suspects_shared_part, b->events);
    });
    std::vector<crash_report> reports;
    reports.reserve(max_crash_reports_per_packet);
    for (auto* it : select_first(std::move(due), max_crash_reports_per_packet)) {
        it->shared_at = now;
        it->is_shared_first = false;
        const auto age = std::max(now - it->crashed_at, duration{});
        reports.push_back({it->id, it->target, it->crashed_at - it->sent_at, age, it->named,
                           all_parts_of(it->parts, it->all_parts)});
    }
    return reports;
}

/// Selects the parts to name in each report. A report that names others than before is shared again
/// at once: the parts that long prompts have in common are known only after other crashes.
void crash_evidence::update_named_parts()
{
    if (!std::exchange(are_named_parts_outdated_, false)) {
        return;
    }
    for (auto& it : records_) {
        auto parts = it.is_refuted ? std::vector<part_key>{} : select_parts(it);
        if (parts != it.named) {
            it.named = std::move(parts);
            it.shared_at = {};
        }
        it.is_shared_first =
            it.shared_at == time_point{} &&
            std::any_of(it.named.begin(), it.named.end(), [&](auto part) {
                return !answered_.contains(part) && count_other_crashes(it, part) > 0;
            });
    }
}

/// Returns the number of other crashes at which the part may have been present.
std::size_t crash_evidence::count_other_crashes(const crash_record& record, part_key part) const
{
    const auto found = crashes_with_.find(part);
    const auto named = found == crashes_with_.end() ? 0 : found->second - 1;
    std::unordered_set<std::size_t> others;
    for (const auto& it : records_) {
        if (!it.is_refuted && it.crash != record.crash && it.all_parts.may_contain(part) &&
            !it.may_be_due_to(part) && !was_cleared(part, it.crashed_at)) {
            others.insert(it.crash);
        }
    }
    return named + others.size();
}

/// Returns the parts to name in a report: those that were present at most other crashes, of these
/// the ones without recent whole answers.
std::vector<part_key> crash_evidence::select_parts(const crash_record& record) const
{
    if (record.parts.size() <= max_parts_per_crash_report) {
        return record.parts;
    }
    struct suspect {
        part_key part;
        std::size_t crashes;
        time_point answered_at;
    };
    std::vector<suspect> suspects;
    suspects.reserve(record.parts.size());
    for (const auto part : record.parts) {
        const auto answered = answered_.find(part);
        suspects.push_back({part, count_other_crashes(record, part),
                            answered == answered_.end() ? time_point::min() : answered->second.at});
    }
    std::stable_sort(suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
        return std::tie(b.crashes, a.answered_at) < std::tie(a.crashes, b.answered_at);
    });
    std::vector<part_key> parts;
    parts.reserve(max_parts_per_crash_report);
    for (std::size_t n = 0; n < max_parts_per_crash_report; ++n) {
        parts.push_back(suspects[n].part);
    }
    return parts;
}

std::vector<part_clearance> crash_evidence::next_clearances(time_point now)
{
    std::vector<answered_part*> due;
    for (auto& [part, it] : answered_) {
        const auto age = now - it.at;
        it.is_clearance = it.is_clearance && age < clearance_lifetime;
        const bool is_present_at_crashes = age < report_lifetime && crashes_with_.contains(part);
        it.is_shared_first = is_present_at_crashes && it.shared_at == time_point{};
        if ((it.is_clearance || is_present_at_crashes) &&
            now - it.shared_at >= share_interval(age)) {
            due.push_back(&it);
        }
    }
    std::vector<part_clearance> clearances;
    clearances.reserve(max_clearances_per_packet);
    for (auto* it : select_first(std::move(due), max_clearances_per_packet)) {
        it->shared_at = now;
        clearances.push_back({it->part, std::max(now - it->at, duration{})});
    }
    return clearances;
}

/// Returns the quarantined parts that hold back a prompt with the given parts.
std::vector<part_key> crash_evidence::all_quarantined(std::span<const prompt_part> all) const
{
    std::vector<part_key> found_parts;
    const auto is_present = [&](part_key part) {
        return std::any_of(all.begin(), all.end(),
                           [&](const auto& it) { return it.id == part.value(); });
    };
    for (const auto& it : all) {
        const auto found = quarantined_.find(part_key{it.id});
        if (found == quarantined_.end()) {
            continue;
        }
        const auto& cause = found->second;
        if (std::all_of(cause.parts.begin(), cause.parts.end(), is_present) &&
            (cause.narrower.empty() ||
             std::any_of(cause.narrower.begin(), cause.narrower.end(), is_present))) {
            found_parts.emplace_back(it.id);
        }
    }
    return found_parts;
}

std::optional<part_key> crash_evidence::find_quarantined(std::span<const prompt_part> all,
                                                         time_point now)
{
    if (quarantined_.empty()) {
        return std::nullopt;
    }
    expire(now);
    update_causes();
    const auto parts = all_quarantined(all);
    return parts.empty() ? std::nullopt : std::optional{parts.front()};
}

std::optional<part_key> crash_evidence::find_trial(std::span<const prompt_part> all,
                                                   time_point now) const
{
    const auto parts = all_quarantined(all);
    if (parts.empty()) {
        return std::nullopt;
    }
    const auto& cause = quarantined_.at(parts.front());
    const bool is_one_cause = std::all_of(parts.begin(), parts.end(), [&](auto part) {
        return std::find(cause.parts.begin(), cause.parts.end(), part) != cause.parts.end();
    });
    if (!is_one_cause || !cause.is_doubtful) {
        return std::nullopt;
    }
    const auto found = trials_.find(parts.front());
    const auto before = found == trials_.end() ? trial{} : found->second;
    const bool is_due = before.count < max_trials &&
                        now - cause.last_crash >= first_trial_delay * (1U << before.count) &&
                        (before.count == 0 || now - before.at >= min_trial_interval);
    return is_due ? std::optional{parts.front()} : std::nullopt;
}

void crash_evidence::record_trial(part_key part, time_point now)
{
    auto& it = trials_[part];
    ++it.count;
    it.at = now;
}

duration crash_evidence::quarantine_left(part_key part, time_point now) const
{
    const auto found = quarantined_.find(part);
    if (found == quarantined_.end()) {
        return duration{};
    }
    return std::max(found->second.last_crash + report_lifetime - now, duration{});
}

std::size_t crash_evidence::successive_crashes(std::span<const prompt_part> all) const
{
    std::size_t most = 0;
    for (const auto& it : all) {
        const part_key part{it.id};
        const auto found = successive_.find(part);
        if (found != successive_.end()) {
            most = std::max(most, found->second);
        }
        else if (most == 0) {
            most = std::any_of(records_.begin(), records_.end(),
                               [&](const auto& record) { return record.may_be_due_to(part); });
        }
    }
    return most;
}

std::vector<part_key> crash_evidence::take_new_quarantines()
{
    return std::exchange(new_quarantines_, {});
}

bool crash_evidence::crash_record::may_be_due_to(part_key part) const
{
    return !is_refuted && std::binary_search(parts.begin(), parts.end(), part);
}

void crash_evidence::expire(time_point now)
{
    const auto removed = std::erase_if(
        records_, [&](const auto& it) { return now - it.crashed_at >= report_lifetime; });
    are_causes_outdated_ = are_causes_outdated_ || removed > 0;
}

/// Analyses the reports that are not refuted, and records the crash of each.
crash_analysis crash_evidence::analyse()
{
    std::vector<crash_record*> reported;
    std::vector<lost_attempt> attempts;
    std::unordered_set<part_key> proven;
    for (auto& it : records_) {
        if (it.is_refuted) {
            continue;
        }
        reported.push_back(&it);
        attempts.push_back({it.target, it.sent_at, it.crashed_at, it.parts});
        for (const auto part : it.parts) {
            if (answered_.contains(part)) {
                proven.insert(part);
            }
        }
    }
    crash_analysis analysis{std::move(attempts), std::move(proven)};
    for (std::size_t n = 0; n < reported.size(); ++n) {
        reported[n]->crash = analysis.crash_of(n);
        reported[n]->attempts_of_crash = analysis.attempts_of(reported[n]->crash);
    }
    return analysis;
}

/// Finds the causes of the crashes and quarantines them, if reports or answers have changed.
void crash_evidence::update_causes()
{
    if (!std::exchange(are_causes_outdated_, false)) {
        return;
    }
    are_named_parts_outdated_ = true;
    const auto analysis = analyse();
    crashes_with_ = analysis.count_crashes();
    successive_ = analysis.count_successive();
    std::unordered_set<part_key> held_back;
    for (const auto& [part, cause] : quarantined_) {
        held_back.insert(cause.parts.begin(), cause.parts.end());
    }
    auto causes = analysis.find_causes(held_back);
    for (const auto& [part, cause] : causes) {
        if (!quarantined_.contains(part)) {
            new_quarantines_.push_back(part);
        }
    }
    quarantined_ = std::move(causes);
    std::erase_if(trials_, [this](const auto& it) { return !quarantined_.contains(it.first); });
}

} // namespace endivelatch
