#include "endivelatch/mirror/object_mirror.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace endivelatch {

object_mirror::object_mirror(const mirror_settings& settings, std::uint64_t seed)
    : settings_{settings}, random_{seed}, next_retry_delay_{settings.initial_retry_delay},
      next_change_pause_{settings.change_pause}
{
}

mirror_effects object_mirror::start(time_point now)
{
    last_response_at_ = now;
    return list_from({});
}

mirror_effects object_mirror::list_from(std::string after)
{
    if (after.empty()) {
        listed_objects_.clear();
        list_revision_.reset();
    }
    retry_at_.reset();
    next_call_is_list_ = true;
    return {list_objects{std::move(after)}};
}

mirror_effects object_mirror::continue_watching(mirror_effects&& effects)
{
    retry_at_.reset();
    next_call_is_list_ = false;
    const auto wait = is_connected_ ? settings_.watch_wait : settings_.watch_wait_after_failure;
    effects.emplace_back(watch_objects{revision_, wait});
    return std::move(effects);
}

void object_mirror::record_response(time_point now)
{
    if (failed_since_ && now - *failed_since_ >= settings_.min_outage) {
        restored_at_ = now;
    }
    failed_since_.reset();
    last_response_at_ = now;
    is_connected_ = true;
    next_retry_delay_ = settings_.initial_retry_delay;
}

mirror_effects object_mirror::handle_response(object_page&& page, time_point now)
{
    record_response(now);
    if (!list_revision_) {
        list_revision_ = page.revision;
    }
    std::move(page.objects.begin(), page.objects.end(), std::back_inserter(listed_objects_));
    if (page.has_more && !listed_objects_.empty()) {
        return list_from(listed_objects_.back().name);
    }
    mirror_effects effects;
    // A copy merged from a peer in the meantime may be newer than this list.
    if (*list_revision_ >= revision_) {
        const bool was_synced = std::exchange(is_synced_, true);
        if (replace_all(std::move(listed_objects_), *list_revision_, now) || !was_synced) {
            effects.emplace_back(mirror_updated{});
        }
        if (!was_synced) {
            tombstones_complete_since_ = *list_revision_; // Earlier removals are unknown.
        }
        revision_ = *list_revision_;
    }
    listed_objects_.clear();
    return continue_watching(std::move(effects));
}

mirror_effects object_mirror::handle_response(object_changes&& changes, time_point now)
{
    record_response(now);
    const bool has_changes = !changes.changes.empty();
    mirror_effects effects;
    if (apply(std::move(changes), now)) {
        effects.emplace_back(mirror_updated{});
    }
    if (has_changes) {
        next_call_is_list_ = false;
        retry_at_ = now + pause_after_change(now);
        return effects;
    }
    return continue_watching(std::move(effects));
}

duration object_mirror::pause_after_change(time_point now)
{
    if (now - last_change_at_ > settings_.change_pause_reset) {
        next_change_pause_ = settings_.change_pause;
    }
    last_change_at_ = now;
    return std::exchange(next_change_pause_,
                         std::min(next_change_pause_ * 2, settings_.max_change_pause));
}

bool object_mirror::apply(object_changes&& changes, time_point now)
{
    bool has_changed = false;
    for (auto& it : changes.changes) {
        if (!it.is_deleted) {
            has_changed = upsert(std::move(it.object)) || has_changed;
            continue;
        }
        const auto existing = objects_.find(it.object.name);
        if (existing != objects_.end() && existing->second.revision <= it.object.revision) {
            // The event may have the revision of the object instead of that of its removal.
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
    const bool was_synced = std::exchange(is_synced_, true);
    const bool has_changed = replace_all(std::move(copy.objects), revision, now);
    if (!was_synced) {
        tombstones_complete_since_ = revision; // Earlier removals are unknown.
    }
    revision_ = revision;
    if (has_changed || !was_synced) {
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
    if (!is_synced_ || revision < tombstones_complete_since_) {
        return std::nullopt;
    }
    object_changes all;
    all.revision = revision_;
    for (const auto& [name, removed_at] : tombstones_) {
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
    record_response(now);
    return list_from({});
}

mirror_effects object_mirror::handle_call_failure(time_point now)
{
    is_connected_ = false;
    failed_since_ = failed_since_.value_or(now);
    // Jitter: routers that lost the platform at the same time do not retry at the same time.
    const auto jitter = random_.fraction() * 0.5 + 0.75;
    retry_at_ = now + std::chrono::duration_cast<duration>(next_retry_delay_ * jitter);
    next_retry_delay_ = std::min(next_retry_delay_ * 2, settings_.max_retry_delay);
    return {};
}

mirror_effects object_mirror::tick(time_point now)
{
    mirror_effects effects;
    const auto count = objects_.size();
    std::erase_if(pending_removals_, [&](const auto& it) {
        if (now < it.second) {
            return false;
        }
        objects_.erase(it.first);
        // Peers already have the current revision, so they receive the removal with the next one.
        add_tombstone(it.first, store_revision{revision_.value() + 1});
        return true;
    });
    if (objects_.size() != count) {
        effects.emplace_back(mirror_updated{});
    }
    if (!retry_at_ || now < *retry_at_) {
        return effects;
    }
    if (!next_call_is_list_ && is_synced_) {
        return continue_watching(std::move(effects));
    }
    auto list = list_from({});
    effects.insert(effects.end(), list.begin(), list.end());
    return effects;
}

std::optional<time_point> object_mirror::next_timer() const
{
    auto next = retry_at_;
    for (const auto& [name, until] : pending_removals_) {
        next = next ? std::min(*next, until) : until;
    }
    return next;
}

void object_mirror::remove(const std::string& name, store_revision revision, time_point now)
{
    const bool is_within_grace =
        restored_at_ != time_point{} && now - restored_at_ < settings_.removal_grace;
    if (is_within_grace) {
        pending_removals_.try_emplace(name, now + settings_.removal_grace);
        return;
    }
    pending_removals_.erase(name);
    objects_.erase(name);
    add_tombstone(name, revision);
}

void object_mirror::add_tombstone(const std::string& name, store_revision revision)
{
    tombstones_[name] = revision;
    if (tombstones_.size() <= max_tombstones) {
        return;
    }
    const auto oldest =
        std::min_element(tombstones_.begin(), tombstones_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    tombstones_complete_since_ = std::max(tombstones_complete_since_, oldest->second);
    tombstones_.erase(oldest);
}

bool object_mirror::upsert(mirrored_object&& object)
{
    pending_removals_.erase(object.name);
    auto& existing = objects_[object.name];
    if (existing.revision > object.revision || existing == object) {
        return false;
    }
    existing = std::move(object);
    tombstones_.erase(existing.name);
    return true;
}

bool object_mirror::replace_all(std::vector<mirrored_object>&& all, store_revision revision,
                                time_point now)
{
    std::set<std::string> present;
    bool has_changed = false;
    for (auto& it : all) {
        present.insert(it.name);
        has_changed = upsert(std::move(it)) || has_changed;
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
