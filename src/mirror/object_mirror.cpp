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
        last_page_revision_ = {};
    }
    retry_at_.reset();
    next_call_is_list_ = true;
    const bool is_first = !is_synced_ && !has_history_expired_;
    return {list_objects{std::move(after), is_first && settings_.first_list_may_be_stale}};
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
    if (page.has_more && page.objects.empty()) {
        return handle_call_failure(now); // Names no object from which to go on.
    }
    record_response(now);
    list_revision_ = std::min(list_revision_.value_or(page.revision), page.revision);
    last_page_revision_ = std::max(last_page_revision_, page.revision);
    std::move(page.objects.begin(), page.objects.end(), std::back_inserter(listed_objects_));
    if (page.has_more) {
        return list_from(listed_objects_.back().name);
    }
    mirror_effects effects;
    // A copy merged from a peer in the meantime may be newer than this list.
    if (*list_revision_ >= revision_ &&
        replace_all(std::move(listed_objects_), *list_revision_, last_page_revision_, now)) {
        effects.emplace_back(mirror_updated{});
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
    if (changes.revision < revision_) {
        return false; // A peer's copy that contains these changes was merged in the meantime.
    }
    bool has_changed = false;
    for (auto& it : changes.changes) {
        if (it.is_deleted) {
            has_changed = apply_removal(it.object, changes.revision, now) || has_changed;
        }
        // The copy reflects changes up to its revision, including removals that followed them.
        else if (it.object.revision > revision_) {
            has_changed = upsert(std::move(it.object)) || has_changed;
        }
    }
    revision_ = changes.revision;
    return has_changed;
}

bool object_mirror::apply_removal(const mirrored_object& removed, store_revision revision,
                                  time_point now)
{
    const auto existing = objects_.find(removed.name);
    if (existing != objects_.end() && existing->second.revision > removed.revision) {
        return false; // Created again after this removal.
    }
    // The event may have the revision of the object instead of that of its removal.
    add_tombstone(removed.name, std::max(removed.revision, revision));
    if (existing == objects_.end()) {
        return false; // Removed while the pages of a list were read.
    }
    retain(std::move(existing->second), now);
    objects_.erase(existing);
    return true;
}

mirror_effects object_mirror::merge_peer_copy(object_page&& copy, time_point now)
{
    if (copy.has_more || (is_synced_ && copy.revision <= revision_)) {
        return {};
    }
    const auto revision = copy.revision;
    note_return_of_store(now);
    if (replace_all(std::move(copy.objects), revision, revision, now)) {
        return {mirror_updated{}};
    }
    return {};
}

mirror_effects object_mirror::merge_peer_copy(object_changes&& changes, store_revision since,
                                              time_point now)
{
    if (!is_exact() || since != revision_ || changes.revision <= revision_) {
        return {};
    }
    record_skipped_changes(changes.revision);
    note_return_of_store(now);
    if (apply(std::move(changes), now)) {
        return {mirror_updated{}};
    }
    return {};
}

std::optional<object_changes> object_mirror::changes_since(store_revision revision) const
{
    const bool was_skipped = revision > skipped_from_ && revision < skipped_until_;
    if (!is_exact() || revision < tombstones_complete_since_ || was_skipped) {
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
    has_history_expired_ = true;
    return list_from({});
}

mirror_effects object_mirror::handle_kind_absent(time_point now)
{
    record_response(now);
    mirror_effects effects;
    if (!is_synced_ || !objects_.empty()) {
        // The response names no revision. The removals of the copy's objects have taken at least
        // one after that of the copy, so the next one is not above that of the store.
        const store_revision revision{revision_.value() + (objects_.empty() ? 0 : 1)};
        replace_all({}, revision, revision, now);
        effects.emplace_back(mirror_updated{});
    }
    next_call_is_list_ = false;
    retry_at_ = now + settings_.absent_kind_delay;
    return effects;
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
    if (std::erase_if(retained_, [&](const auto& it) { return now >= it.second.until; }) > 0) {
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
    for (const auto& [name, it] : retained_) {
        next = std::min(next.value_or(it.until), it.until);
    }
    return next;
}

std::vector<const mirrored_object*> object_mirror::objects_in_use() const
{
    std::vector<const mirrored_object*> all;
    all.reserve(objects_.size() + retained_.size());
    for (const auto& [name, object] : objects_) {
        all.push_back(&object);
    }
    for (const auto& [name, it] : retained_) {
        all.push_back(&it.object);
    }
    return all;
}

void object_mirror::note_return_of_store(time_point now)
{
    const bool is_outage = failed_since_ && now - *failed_since_ >= settings_.min_outage;
    if (is_outage && restored_at_ <= *failed_since_) {
        restored_at_ = now;
    }
}

void object_mirror::retain(mirrored_object&& object, time_point now)
{
    if (restored_at_ != time_point{} && now - restored_at_ < settings_.removal_grace) {
        auto name = object.name;
        retained_.try_emplace(
            std::move(name),
            retained_object{std::move(object), restored_at_ + settings_.removal_grace});
    }
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
    const bool was_retained = retained_.erase(object.name) > 0;
    auto& existing = objects_[object.name];
    if (existing.revision > object.revision || existing == object) {
        return was_retained;
    }
    existing = std::move(object);
    tombstones_.erase(existing.name);
    return true;
}

bool object_mirror::replace_all(std::vector<mirrored_object>&& all, store_revision revision,
                                store_revision exact_from, time_point now)
{
    bool has_changed = !is_synced_;
    exact_from_ = std::max(exact_from_, exact_from);
    record_skipped_changes(exact_from_);
    std::set<std::string> present;
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
    for (const auto& name : missing) {
        // An object that is newer than the whole copy was created after it.
        has_changed = apply_removal({name, revision, {}}, exact_from, now) || has_changed;
    }
    revision_ = revision;
    return has_changed;
}

void object_mirror::record_skipped_changes(store_revision until)
{
    if (!std::exchange(is_synced_, true)) {
        tombstones_complete_since_ = until; // Earlier removals are unknown.
        return;
    }
    if (skipped_until_ <= revision_) {
        tombstones_complete_since_ = std::max(tombstones_complete_since_, skipped_until_);
        skipped_from_ = revision_;
    }
    skipped_until_ = std::max(skipped_until_, until);
}

} // namespace endivelatch
