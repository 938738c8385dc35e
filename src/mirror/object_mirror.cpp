#include "endivelatch/mirror/object_mirror.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace endivelatch {

object_mirror::object_mirror(const mirror_settings& settings, std::uint64_t seed)
    : settings_{settings}, random_{seed}, next_retry_{settings.first_retry},
      next_pause_{settings.change_pause}
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

mirror_effects object_mirror::handle_response(object_page&& page, time_point now)
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
        const bool was_known = std::exchange(is_synced_, true);
        if (replace_all(std::move(pages_), *list_revision_, now) || !was_known) {
            effects.emplace_back(mirror_updated{});
        }
        if (!was_known) {
            removed_since_ = *list_revision_; // Earlier removals are unknown.
        }
        revision_ = *list_revision_;
    }
    pages_.clear();
    return watch_on(std::move(effects));
}

mirror_effects object_mirror::handle_response(object_changes&& changes, time_point now)
{
    note_answer(now);
    const bool has_changes = !changes.changes.empty();
    mirror_effects effects;
    if (apply(std::move(changes), now)) {
        effects.emplace_back(mirror_updated{});
    }
    if (has_changes) {
        lists_next_ = false;
        retry_at_ = now + pause_after_change(now);
        return effects;
    }
    return watch_on(std::move(effects));
}

duration object_mirror::pause_after_change(time_point now)
{
    if (now - changed_at_ > settings_.quiet_time) {
        next_pause_ = settings_.change_pause;
    }
    changed_at_ = now;
    return std::exchange(next_pause_, std::min(next_pause_ * 2, settings_.longest_change_pause));
}

bool object_mirror::apply(object_changes&& changes, time_point now)
{
    bool has_changed = false;
    for (auto& it : changes.changes) {
        if (!it.is_deleted) {
            has_changed = put(std::move(it.object)) || has_changed;
            continue;
        }
        const auto known = objects_.find(it.object.name);
        if (known != objects_.end() && known->second.revision <= it.object.revision) {
            // The event may carry the revision of the object rather than that of its removal.
            remove(it.object.name, std::max(it.object.revision, changes.revision), now);
            has_changed = true;
        }
    }
    revision_ = std::max(revision_, changes.revision);
    return has_changed;
}

mirror_effects object_mirror::merge_peer_copy(object_page&& copy, time_point now)
{
    if (copy.has_more || (is_synced_ && copy.revision <= revision_)) {
        return {};
    }
    const auto revision = copy.revision;
    const bool was_known = std::exchange(is_synced_, true);
    const bool has_changed = replace_all(std::move(copy.objects), revision, now);
    if (!was_known) {
        removed_since_ = revision; // Earlier removals are unknown.
    }
    revision_ = revision;
    if (has_changed || !was_known) {
        return {mirror_updated{}};
    }
    return {};
}

mirror_effects object_mirror::merge_peer_copy(object_changes&& changes, time_point now)
{
    if (!is_synced_ || changes.revision <= revision_) {
        return {};
    }
    if (apply(std::move(changes), now)) {
        return {mirror_updated{}};
    }
    return {};
}

std::optional<object_changes> object_mirror::changes_since(store_revision revision) const
{
    if (!is_synced_ || revision < removed_since_) {
        return std::nullopt;
    }
    object_changes all;
    all.revision = revision_;
    for (const auto& [name, removed_at] : removed_) {
        if (removed_at > revision) {
            all.changes.push_back({{name, removed_at, {}}, true});
        }
    }
    for (const auto& [name, object] : objects_) {
        if (object.revision > revision) {
            all.changes.push_back({object, false});
        }
    }
    return all;
}

mirror_effects object_mirror::handle_history_expired(time_point now)
{
    note_answer(now);
    return list_from({});
}

mirror_effects object_mirror::handle_call_failure(time_point now)
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
        // Peers have this revision already; they learn of it with the next one.
        note_removed(it.first, store_revision{revision_.value() + 1});
        return true;
    });
    if (objects_.size() != count) {
        effects.emplace_back(mirror_updated{});
    }
    if (!retry_at_ || now < *retry_at_) {
        return effects;
    }
    if (!lists_next_ && is_synced_) {
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

void object_mirror::remove(const std::string& name, store_revision revision, time_point now)
{
    const bool is_after_outage =
        restored_at_ != time_point{} && now - restored_at_ < settings_.removal_grace;
    if (is_after_outage) {
        absent_.try_emplace(name, now + settings_.removal_grace);
        return;
    }
    absent_.erase(name);
    objects_.erase(name);
    note_removed(name, revision);
}

void object_mirror::note_removed(const std::string& name, store_revision revision)
{
    removed_[name] = revision;
    if (removed_.size() <= most_removed) {
        return;
    }
    const auto oldest =
        std::min_element(removed_.begin(), removed_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    removed_since_ = std::max(removed_since_, oldest->second);
    removed_.erase(oldest);
}

bool object_mirror::put(mirrored_object&& object)
{
    absent_.erase(object.name);
    auto& known = objects_[object.name];
    if (known.revision > object.revision || known == object) {
        return false;
    }
    known = std::move(object);
    removed_.erase(known.name);
    return true;
}

bool object_mirror::replace_all(std::vector<mirrored_object>&& all, store_revision revision,
                                time_point now)
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
        remove(it, revision, now);
    }
    return has_changed || !missing.empty();
}

} // namespace endivelatch
