#include "endivelatch/traffic/crash_evidence.hpp"

#include <algorithm>
#include <set>
#include <tuple>
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
    std::sort(entries.begin(), entries.end(), [](const auto* a, const auto* b) {
        return std::tie(b->is_shared_first, a->shared_at) <
               std::tie(a->is_shared_first, b->shared_at);
    });
    entries.resize(std::min(entries.size(), max_count));
    return entries;
}

} // namespace

void crash_evidence::record_crash(crash_report_id id, target_key target,
                                  std::span<const prompt_part> all, time_point sent_at,
                                  time_point now)
{
    // Those that began least recently first, never begun ones before all.
    std::vector<std::pair<time_point, part_key>> suspects;
    suspects.reserve(all.size());
    for (const auto& it : all) {
        const auto begun = begun_.find(part_key{it.id});
        suspects.emplace_back(begun == begun_.end() ? time_point::min() : begun->second.at,
                              part_key{it.id});
    }
    std::stable_sort(suspects.begin(), suspects.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    crash_record record{id, target, sent_at, now, {}, {}, false, {}, {}, false};
    for (const auto& [begun_at, part] : suspects) {
        const bool is_sound = begun_at != time_point::min() && now - begun_at < recent_begin;
        if (record.parts.size() < max_suspects && (!is_sound || record.parts.empty())) {
            record.parts.push_back(part);
        }
    }
    sort_unique(record.parts);
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
        return found != quarantined_.end() && found->second.size() == 1 &&
               reports_of(part).size() >= max_reports_per_part;
    });
    if (is_needless) {
        return;
    }
    if (records_.size() >= max_reports) {
        remove_least_useful();
    }
    records_.push_back(std::move(record));
    update_quarantine();
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
        update_quarantine();
    }
}

/// Removes the oldest report that is refuted, or else the oldest one without a quarantined part.
void crash_evidence::remove_least_useful()
{
    const auto supports_quarantine = [this](const crash_record& it) {
        return std::any_of(it.parts.begin(), it.parts.end(),
                           [this](auto part) { return quarantined_.contains(part); });
    };
    auto it = std::find_if(records_.begin(), records_.end(),
                           [](const auto& record) { return record.is_refuted; });
    if (it == records_.end()) {
        it = std::find_if_not(records_.begin(), records_.end(), supports_quarantine);
    }
    records_.erase(it == records_.end() ? records_.begin() : it);
}

bool crash_evidence::was_cleared(part_key part, time_point since) const
{
    const auto begun = begun_.find(part);
    return begun != begun_.end() && begun->second.at > since;
}

/// Removes the parts that were cleared after the crash. Returns whether any is left.
bool crash_evidence::remove_cleared_parts(crash_record& record)
{
    std::erase_if(record.parts, [&](auto part) {
        const bool is_cleared = was_cleared(part, record.crashed_at);
        if (is_cleared) {
            begun_.at(part).is_clearance = true;
        }
        return is_cleared;
    });
    return record.has_suspects();
}

/// Removes the cleared parts of all reports.
void crash_evidence::remove_cleared_parts()
{
    std::erase_if(records_, [this](auto& it) { return !remove_cleared_parts(it); });
    update_quarantine();
}

/// Forgets those that began before half of the others, if they are too many.
void crash_evidence::limit_begun_parts(time_point now)
{
    if (begun_.size() <= max_begun_parts) {
        return;
    }
    std::erase_if(begun_, [&](const auto& it) {
        return now - it.second.at > clearance_lifetime / 2 && !it.second.is_clearance;
    });
    if (begun_.size() <= max_begun_parts) {
        return;
    }
    std::vector<time_point> times;
    times.reserve(begun_.size());
    for (const auto& [part, it] : begun_) {
        times.push_back(it.at);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(begun_, [&](const auto& it) { return it.second.at <= *middle; });
}

void crash_evidence::record_begin(std::span<const prompt_part> shared, time_point now)
{
    limit_begun_parts(now);
    bool has_changed = false;
    for (const auto& it : shared) {
        has_changed = note_begin(part_key{it.id}, now, false) || has_changed;
    }
    if (has_changed) {
        remove_cleared_parts();
    }
}

void crash_evidence::record_begin_of_suspect(const prompt_part& part, time_point now)
{
    const part_key key{part.id};
    const bool is_suspect = std::any_of(records_.begin(), records_.end(),
                                        [&](const auto& it) { return it.may_be_due_to(key); });
    if (is_suspect && note_begin(key, now, false)) {
        remove_cleared_parts();
    }
}

/// Records that an answer to a prompt with the part has begun. Returns whether a report suspects
/// the part of an earlier crash.
bool crash_evidence::note_begin(part_key part, time_point at, bool was_shared)
{
    auto& begun = begun_.try_emplace(part, begun_part{part, {}, false, {}, false}).first->second;
    if (begun.at >= at) {
        return false;
    }
    begun.at = at;
    begun.is_clearance = begun.is_clearance || was_shared;
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
        update_quarantine();
    }
}

void crash_evidence::merge(const crash_news& news, time_point now)
{
    bool has_changed = false;
    for (const auto& it : news.clearances) {
        has_changed =
            (it.age < clearance_lifetime && note_begin(it.part, now - it.age, true)) || has_changed;
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
        const auto crashed_at = now - it.age;
        crash_record record{
            it.id, it.target, crashed_at - it.held, crashed_at, it.parts, it.all_parts, false, {},
            {},    false};
        sort_unique(record.parts);
        add(std::move(record), now);
    }
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
        it.is_shared_first = it.shared_at == time_point{} &&
                             std::any_of(it.named.begin(), it.named.end(), [&](auto part) {
                                 return count_other_crashes(it, part) > 0;
                             });
    }
}

/// Returns the number of other crashes at which the part may have been present.
std::size_t crash_evidence::count_other_crashes(const crash_record& record, part_key part) const
{
    const auto count = std::count_if(records_.begin(), records_.end(), [&](const auto& it) {
        const bool may_be_present =
            it.may_be_due_to(part) ||
            (!it.is_refuted && it.all_parts.may_contain(part) && !was_cleared(part, it.crashed_at));
        return it.id != record.id && may_be_present;
    });
    return static_cast<std::size_t>(count);
}

/// Returns the parts to name in a report: those that were present at most other crashes, of these
/// the ones that began least recently.
std::vector<part_key> crash_evidence::select_parts(const crash_record& record) const
{
    if (record.parts.size() <= max_parts_per_crash_report) {
        return record.parts;
    }
    struct suspect {
        part_key part;
        std::size_t crashes;
        time_point begun_at;
    };
    std::vector<suspect> suspects;
    suspects.reserve(record.parts.size());
    for (const auto part : record.parts) {
        const auto begun = begun_.find(part);
        suspects.push_back({part, count_other_crashes(record, part),
                            begun == begun_.end() ? time_point::min() : begun->second.at});
    }
    std::stable_sort(suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
        return std::tie(b.crashes, a.begun_at) < std::tie(a.crashes, b.begun_at);
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
    std::vector<begun_part*> due;
    for (auto& [part, it] : begun_) {
        const auto age = now - it.at;
        it.is_clearance = it.is_clearance && age < clearance_lifetime;
        if (it.is_clearance && now - it.shared_at >= share_interval(age)) {
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

std::optional<part_key> crash_evidence::find_quarantined(std::span<const prompt_part> all,
                                                         time_point now)
{
    if (quarantined_.empty()) {
        return std::nullopt;
    }
    expire(now);
    const auto is_present = [&](part_key part) {
        return std::any_of(all.begin(), all.end(),
                           [&](const auto& it) { return it.id == part.value(); });
    };
    for (const auto& it : all) {
        const auto found = quarantined_.find(part_key{it.id});
        if (found != quarantined_.end() &&
            std::all_of(found->second.begin(), found->second.end(), is_present)) {
            return part_key{it.id};
        }
    }
    return std::nullopt;
}

duration crash_evidence::quarantine_left(part_key part, time_point now) const
{
    const auto crashes = succession(part);
    if (crashes.empty()) {
        return duration{};
    }
    return std::max(crashes.back()->crashed_at + report_lifetime - now, duration{});
}

std::size_t crash_evidence::successive_crashes(std::span<const prompt_part> all) const
{
    std::size_t most = 0;
    for (const auto& it : all) {
        most = std::max(most, succession(part_key{it.id}).size());
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

std::vector<const crash_evidence::crash_record*> crash_evidence::reports_of(part_key part) const
{
    std::vector<const crash_record*> reports;
    for (const auto& it : records_) {
        if (it.may_be_due_to(part)) {
            reports.push_back(&it);
        }
    }
    std::sort(reports.begin(), reports.end(), [](const auto* a, const auto* b) {
        return std::tie(a->crashed_at, a->id) < std::tie(b->crashed_at, b->id);
    });
    return reports;
}

/// Returns the parts that all reports of the part have in common.
std::vector<part_key> crash_evidence::common_parts(part_key part) const
{
    const auto reports = reports_of(part);
    auto common = reports.front()->parts;
    std::erase_if(common, [&](auto other) {
        return !std::all_of(reports.begin(), reports.end(),
                            [&](const auto* it) { return it->may_be_due_to(other); });
    });
    return common;
}

/// Returns the longest series of crashes in which each request was sent after the crash before.
std::vector<const crash_evidence::crash_record*> crash_evidence::succession(part_key part) const
{
    std::vector<const crash_record*> series;
    for (const auto* it : reports_of(part)) {
        if (series.empty() || it->sent_at >= series.back()->crashed_at) {
            series.push_back(it);
        }
    }
    return series;
}

bool crash_evidence::is_conclusive(part_key part) const
{
    const auto series = succession(part);
    std::set<target_key> targets;
    for (const auto* it : series) {
        targets.insert(it->target);
    }
    return series.size() >= (targets.size() > 1 ? quarantine_threshold : one_target_threshold);
}

void crash_evidence::expire(time_point now)
{
    const auto removed = std::erase_if(
        records_, [&](const auto& it) { return now - it.crashed_at >= report_lifetime; });
    if (removed > 0) {
        update_quarantine();
    }
}

void crash_evidence::update_quarantine()
{
    are_named_parts_outdated_ = true;
    std::vector<part_key> named; // Once for each report.
    for (const auto& it : records_) {
        named.insert(named.end(), it.parts.begin(), it.parts.end());
    }
    std::sort(named.begin(), named.end());
    std::unordered_map<part_key, std::vector<part_key>> quarantined;
    for (auto it = named.begin(); it != named.end();) {
        const auto part = *it;
        const auto next = std::upper_bound(it, named.end(), part);
        const bool is_named_often = next - it >= static_cast<std::ptrdiff_t>(quarantine_threshold);
        it = next;
        if (!is_named_often || !is_conclusive(part)) {
            continue;
        }
        if (!quarantined_.contains(part)) {
            new_quarantines_.push_back(part);
        }
        quarantined.emplace(part, common_parts(part));
    }
    quarantined_ = std::move(quarantined);
}

} // namespace endivelatch
