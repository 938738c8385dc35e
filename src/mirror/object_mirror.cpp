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
        list_position_.reset();
        last_page_revision_ = {};
    }
    retry_at_.reset();
    next_call_is_list_ = true;
    const bool is_first = !is_synced_ && !has_history_expired_;
    return {list_objects{std::move(after), is_first && settings_.first_list_may_be_stale}};
}

/// Lists at once or, if the answer before led to another call as well, after a pause.
mirror_effects object_mirror::list_after_rejection(time_point now)
{
    const auto pause = pause_after_rejection();
    if (pause == duration{}) {
        return list_from({});
    }
    next_call_is_list_ = true;
    retry_at_ = now + pause;
    return {};
}

/// Returns the pause before the next call after an answer that brought nothing and came at once: a
/// discarded history, a watch that did not wait, a change of era. None the first time; then it
/// grows, so that a store that goes on answering like this is not called without end.
duration object_mirror::pause_after_rejection()
{
    constexpr std::uint32_t max_doublings = 16;
    const auto n = rejections_++;
    if (n == 0) {
        return {};
    }
    const auto factor = 1U << std::min(n - 1, max_doublings);
    const auto pause = std::min(settings_.initial_retry_delay * factor, settings_.max_retry_delay);
    const auto jitter = random_.fraction() * 0.5 + 0.75;
    return std::chrono::duration_cast<duration>(pause * jitter);
}

mirror_effects object_mirror::continue_watching(mirror_effects&& effects, time_point now)
{
    retry_at_.reset();
    next_call_is_list_ = false;
    begin_watch(is_connected_ ? settings_.watch_wait : settings_.watch_wait_after_failure, now);
    effects.emplace_back(watch_objects{position_, watch_wait_});
    return std::move(effects);
}

void object_mirror::begin_watch(duration wait, time_point now)
{
    watched_after_ = position_;
    watch_sent_at_ = now;
    watch_wait_ = wait;
}

bool object_mirror::begin_era(store_era era, time_point now)
{
    if (era <= era_) {
        return false;
    }
    era_ = era;
    era_began_at_ = now;
    if (!is_synced_) {
        return false;
    }
    returned_at_ = now;
    may_be_outdated_ = true;
    has_history_expired_ = true;
    for (auto& [name, it] : retained_) {
        it.until = std::max(it.until, now + settings_.rewrite_grace);
    }
    return true;
}

mirror_effects object_mirror::read_era(time_point now)
{
    return list_after_rejection(now);
}

void object_mirror::record_response(time_point now)
{
    if (failed_since_ && now - *failed_since_ >= settings_.min_outage) {
        returned_at_ = now;
    }
    failed_since_.reset();
    last_response_at_ = now;
    is_connected_ = true;
    next_retry_delay_ = settings_.initial_retry_delay;
}

mirror_effects object_mirror::handle_response(object_page&& page, time_point now)
{
    const bool names_no_next =
        page.objects.empty() ||
        (!listed_objects_.empty() && page.objects.back().name == listed_objects_.back().name);
    if (page.has_more && names_no_next) {
        return handle_call_failure(now);
    }
    if (page.position.era < era_) {
        return handle_call_failure(now); // It was on its way while the store came back.
    }
    begin_era(page.position.era, now);
    record_response(now);
    if (list_position_ && list_position_->era != page.position.era) {
        return list_after_rejection(now); // The store came back between two pages.
    }
    list_position_ = std::min(list_position_.value_or(page.position), page.position);
    last_page_revision_ = std::max(last_page_revision_, page.position.revision);
    std::move(page.objects.begin(), page.objects.end(), std::back_inserter(listed_objects_));
    if (page.has_more) {
        return list_from(listed_objects_.back().name);
    }
    mirror_effects effects;
    // A copy merged from a peer in the meantime may be newer than this list.
    if (*list_position_ >= position_ &&
        adopt(std::move(listed_objects_), *list_position_, last_page_revision_, now)) {
        effects.emplace_back(mirror_updated{});
    }
    listed_objects_.clear();
    return continue_watching(std::move(effects), now);
}

mirror_effects object_mirror::handle_response(object_changes&& changes, time_point now)
{
    if (changes.position.era < era_) {
        return handle_call_failure(now); // It was on its way while the store came back.
    }
    begin_era(changes.position.era, now);
    record_response(now);
    if (changes.position.era != position_.era || changes.position.era != watched_after_.era) {
        return list_after_rejection(now); // These changes follow a state that the copy never had.
    }
    const bool has_changes = !changes.changes.empty();
    mirror_effects effects;
    if (apply(std::move(changes), now)) {
        effects.emplace_back(mirror_updated{});
    }
    const bool was_to_wait = watch_wait_ >= settings_.initial_retry_delay;
    if (!has_changes && was_to_wait && now - watch_sent_at_ < watch_wait_ / 2) {
        const auto pause = pause_after_rejection();
        if (pause > duration{}) {
            next_call_is_list_ = false;
            retry_at_ = now + pause;
            return effects;
        }
        return continue_watching(std::move(effects), now);
    }
    rejections_ = 0;
    if (has_changes) {
        next_call_is_list_ = false;
        retry_at_ = now + pause_after_change(now);
        return effects;
    }
    return continue_watching(std::move(effects), now);
}

mirror_effects object_mirror::handle_confirmation(time_point now)
{
    record_response(now);
    rejections_ = 0;
    return continue_watching({}, now);
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
    if (changes.position < position_) {
        return false; // A peer's copy that contains these changes was merged in the meantime.
    }
    bool has_changed = false;
    for (auto& it : changes.changes) {
        if (it.is_deleted) {
            has_changed = apply_removal(it.object, changes.position.revision, now) || has_changed;
        }
        // The copy reflects changes up to its revision, including removals that followed them.
        else if (it.object.revision > position_.revision) {
            has_changed = upsert(std::move(it.object)) || has_changed;
        }
    }
    position_ = changes.position;
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
    const bool is_newer = copy.position > position_ && copy.position.era >= era_;
    if (copy.has_more || (is_synced_ && !is_newer)) {
        return {};
    }
    begin_era(copy.position.era, now);
    note_return_of_store(now);
    const auto position = copy.position;
    if (adopt(std::move(copy.objects), position, position.revision, now)) {
        return {mirror_updated{}};
    }
    return {};
}

mirror_effects object_mirror::merge_peer_copy(object_changes&& changes, store_position since,
                                              time_point now)
{
    const bool is_same_era = changes.position.era == position_.era;
    if (!is_exact() || since != position_ || !is_same_era || changes.position <= position_) {
        return {};
    }
    record_skipped_changes(changes.position.revision);
    note_return_of_store(now);
    if (apply(std::move(changes), now)) {
        return {mirror_updated{}};
    }
    return {};
}

std::optional<object_changes> object_mirror::changes_since(store_position since) const
{
    const auto revision = since.revision;
    const bool was_skipped = revision > skipped_from_ && revision < skipped_until_;
    if (!is_exact() || since.era != position_.era || revision < tombstones_complete_since_ ||
        was_skipped) {
        return std::nullopt;
    }
    object_changes all;
    all.position = position_;
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
    return list_after_rejection(now);
}

mirror_effects object_mirror::handle_kind_absent(time_point now)
{
    record_response(now);
    mirror_effects effects;
    if (!is_synced_ || !objects_.empty() || position_.era != era_) {
        // The response names no revision. The removals of the copy's objects have taken at least
        // one after that of the copy, so the next one is not above that of the store.
        const bool is_same_era = position_.era == era_;
        const store_revision revision{
            is_same_era ? position_.revision.value() + (objects_.empty() ? 0 : 1) : 0};
        adopt({}, {era_, revision}, revision, now);
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
    const bool was_outdated = may_be_outdated_;
    may_be_outdated_ = may_be_outdated_ && now < era_began_at_ + settings_.outdated_time;
    const auto expired =
        std::erase_if(retained_, [&](const auto& it) { return now >= it.second.until; });
    if (expired > 0 || was_outdated != may_be_outdated_) {
        effects.emplace_back(mirror_updated{});
    }
    if (!retry_at_ || now < *retry_at_) {
        return effects;
    }
    if (!next_call_is_list_ && is_synced_ && position_.era == era_) {
        return continue_watching(std::move(effects), now);
    }
    auto list = list_from({});
    effects.insert(effects.end(), list.begin(), list.end());
    return effects;
}

std::optional<time_point> object_mirror::next_timer() const
{
    auto next = retry_at_;
    if (may_be_outdated_) {
        const auto until = era_began_at_ + settings_.outdated_time;
        next = std::min(next.value_or(until), until);
    }
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
    if (is_outage && returned_at_ <= *failed_since_) {
        returned_at_ = now;
    }
}

void object_mirror::retain(mirrored_object&& object, time_point now)
{
    if (returned_at_ != time_point{} && now - returned_at_ < settings_.removal_grace) {
        auto name = object.name;
        retained_.try_emplace(
            std::move(name),
            retained_object{std::move(object), returned_at_ + settings_.removal_grace});
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

/// Replaces the copy by a complete one that is not older. Returns whether objects have changed.
bool object_mirror::adopt(std::vector<mirrored_object>&& all, store_position position,
                          store_revision exact_from, time_point now)
{
    if (is_synced_ && position.era != position_.era) {
        return replace_era(std::move(all), position, exact_from, now);
    }
    position_.era = position.era;
    return replace_all(std::move(all), position.revision, exact_from, now);
}

/// Replaces the copy by one of a later era, to which its revisions and removals do not apply.
bool object_mirror::replace_era(std::vector<mirrored_object>&& all, store_position position,
                                store_revision exact_from, time_point now)
{
    auto former = std::exchange(objects_, {});
    tombstones_.clear();
    tombstones_complete_since_ = exact_from;
    skipped_from_ = skipped_until_ = {};
    exact_from_ = exact_from;
    position_ = position;
    for (auto& it : all) {
        auto name = it.name;
        former.erase(name);
        retained_.erase(name);
        objects_.insert_or_assign(std::move(name), std::move(it));
    }
    const auto until = era_began_at_ + settings_.rewrite_grace;
    if (now < until) {
        for (auto& [name, object] : former) {
            retained_.insert_or_assign(name, retained_object{std::move(object), until});
        }
    }
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
    position_.revision = revision;
    return has_changed;
}

void object_mirror::record_skipped_changes(store_revision until)
{
    if (!std::exchange(is_synced_, true)) {
        tombstones_complete_since_ = until; // Earlier removals are unknown.
        return;
    }
    if (skipped_until_ <= position_.revision) {
        tombstones_complete_since_ = std::max(tombstones_complete_since_, skipped_until_);
        skipped_from_ = position_.revision;
    }
    skipped_until_ = std::max(skipped_until_, until);
}

} // namespace endivelatch
