#include "endivelatch/mirror/object_mirror.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace endivelatch {

object_mirror::object_mirror(const mirror_settings& settings, std::uint64_t seed)
    : settings_{settings}, random_{seed}, next_retry_{settings.first_retry}
{
}

mirror_effects object_mirror::start(time_point now)
{
    answered_at_ = now;
    return list_from({});
}

mirror_effects object_mirror::list_from(std::string after)
{
    if (after.empty()) {
        pages_.clear();
        list_revision_.reset();
    }
    retry_at_.reset();
    lists_next_ = true;
    return {list_objects{std::move(after)}};
}

mirror_effects object_mirror::watch_on(mirror_effects&& effects)
{
    retry_at_.reset();
    lists_next_ = false;
    const auto wait = is_connected_ ? settings_.watch_wait : settings_.probing_wait;
    effects.emplace_back(watch_objects{revision_, wait});
    return std::move(effects);
}

void object_mirror::note_answer(time_point now)
{
    if (failed_since_ && now - *failed_since_ >= settings_.outage) {
        restored_at_ = now;
    }
    failed_since_.reset();
    answered_at_ = now;
    is_connected_ = true;
    next_retry_ = settings_.first_retry;
}

mirror_effects object_mirror::take(object_page&& page, time_point now)
{
    note_answer(now);
    if (!list_revision_) {
        list_revision_ = page.revision;
    }
    std::move(page.objects.begin(), page.objects.end(), std::back_inserter(pages_));
    if (page.has_more && !pages_.empty()) {
        return list_from(pages_.back().name);
    }
    mirror_effects effects;
    // A copy taken from a peer meanwhile may be newer than this list.
    if (*list_revision_ >= revision_) {
        const bool was_known = std::exchange(is_known_, true);
        if (replace_all(std::move(pages_), now) || !was_known) {
            effects.emplace_back(mirror_updated{});
        }
        revision_ = *list_revision_;
    }
    pages_.clear();
    return watch_on(std::move(effects));
}

mirror_effects object_mirror::take(object_changes&& changes, time_point now)
{
    note_answer(now);
    mirror_effects effects;
    bool has_changed = false;
    for (auto& it : changes.changes) {
        if (it.is_deleted) {
            const auto known = objects_.find(it.object.name);
            if (known != objects_.end() && known->second.revision <= it.object.revision) {
                remove(it.object.name, now);
                has_changed = true;
            }
            continue;
        }
        has_changed = put(std::move(it.object)) || has_changed;
    }
    revision_ = std::max(revision_, changes.revision);
    if (has_changed) {
        effects.emplace_back(mirror_updated{});
    }
    if (!changes.changes.empty()) {
        lists_next_ = false;
        retry_at_ = now + settings_.change_pause;
        return effects;
    }
    return watch_on(std::move(effects));
}

mirror_effects object_mirror::take_copy(object_page&& copy, time_point now)
{
    if (copy.has_more || (is_known_ && copy.revision <= revision_)) {
        return {};
    }
    revision_ = copy.revision;
    const bool was_known = std::exchange(is_known_, true);
    if (replace_all(std::move(copy.objects), now) || !was_known) {
        return {mirror_updated{}};
    }
    return {};
}

mirror_effects object_mirror::history_gone(time_point now)
{
    note_answer(now);
    return list_from({});
}

mirror_effects object_mirror::call_failed(time_point now)
{
    is_connected_ = false;
    failed_since_ = failed_since_.value_or(now);
    // Routers that lost the platform together do not come back together.
    const auto jitter = random_.fraction() * 0.5 + 0.75;
    retry_at_ = now + std::chrono::duration_cast<duration>(next_retry_ * jitter);
    next_retry_ = std::min(next_retry_ * 2, settings_.longest_retry);
    return {};
}

mirror_effects object_mirror::tick(time_point now)
{
    mirror_effects effects;
    const auto count = objects_.size();
    std::erase_if(absent_, [&](const auto& it) {
        if (now < it.second) {
            return false;
        }
        objects_.erase(it.first);
        return true;
    });
    if (objects_.size() != count) {
        effects.emplace_back(mirror_updated{});
    }
    if (!retry_at_ || now < *retry_at_) {
        return effects;
    }
    if (!lists_next_ && is_known_) {
        return watch_on(std::move(effects));
    }
    auto list = list_from({});
    effects.insert(effects.end(), list.begin(), list.end());
    return effects;
}

std::optional<time_point> object_mirror::next_timer() const
{
    auto next = retry_at_;
    for (const auto& [name, until] : absent_) {
        next = next ? std::min(*next, until) : until;
    }
    return next;
}

void object_mirror::remove(const std::string& name, time_point now)
{
    const bool is_after_outage =
        restored_at_ != time_point{} && now - restored_at_ < settings_.absence_grace;
    if (is_after_outage) {
        absent_.try_emplace(name, now + settings_.absence_grace);
        return;
    }
    absent_.erase(name);
    objects_.erase(name);
}

bool object_mirror::put(mirrored_object&& object)
{
    absent_.erase(object.name);
    auto& known = objects_[object.name];
    if (known.revision > object.revision || known == object) {
        return false;
    }
    known = std::move(object);
    return true;
}

bool object_mirror::replace_all(std::vector<mirrored_object>&& all, time_point now)
{
    std::set<std::string> present;
    bool has_changed = false;
    for (auto& it : all) {
        present.insert(it.name);
        has_changed = put(std::move(it)) || has_changed;
    }
    std::vector<std::string> missing;
    for (const auto& [name, object] : objects_) {
        if (!present.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const auto& it : missing) {
        remove(it, now);
    }
    return has_changed || !missing.empty();
}

} // namespace endivelatch
