#include "endivelatch/admission/fair_queue.hpp"

#include <algorithm>

namespace endivelatch {

fair_queue::item_rank fair_queue::rank_of(const item& it)
{
    return {-std::int64_t{it.request.priority}, it.sequence};
}

fair_queue::caller_rank fair_queue::rank_of(const caller_state& caller)
{
    return {caller.items.begin()->first.first, {caller.start_tag, caller.number}};
}

fair_queue::organisation_state& fair_queue::find_or_add_organisation(const organisation_id& id)
{
    auto& state = organisations_[id];
    if (!state) {
        state = std::make_unique<organisation_state>();
        state->id = id;
        state->number = next_sequence_++;
        state->start_tag = virtual_time_;
        attach(*state);
    }
    return *state;
}

fair_queue::caller_state& fair_queue::find_or_add_caller(organisation_state& organisation,
                                                         const caller_id& id)
{
    auto& state = organisation.callers[id];
    if (!state) {
        state = std::make_unique<caller_state>();
        state->id = id;
        state->number = next_sequence_++;
        state->start_tag = organisation.virtual_time;
        attach(organisation, *state);
    }
    return *state;
}

void fair_queue::detach(organisation_state& organisation)
{
    const rank start_tag{organisation.start_tag, organisation.number};
    ready_.erase(start_tag);
    idle_.erase(start_tag);
    const auto length = static_cast<double>(organisation.items.size()) / organisation.weight;
    weighted_lengths_.erase({length, organisation.number});
}

void fair_queue::attach(organisation_state& organisation)
{
    const rank start_tag{organisation.start_tag, organisation.number};
    if (organisation.items.empty()) {
        idle_.emplace(start_tag, &organisation);
        return;
    }
    if (!organisation.is_blocked) {
        ready_.emplace(start_tag, &organisation);
    }
    const auto length = static_cast<double>(organisation.items.size()) / organisation.weight;
    weighted_lengths_.emplace(rank{length, organisation.number}, &organisation);
}

void fair_queue::detach(organisation_state& organisation, caller_state& caller)
{
    if (caller.items.empty()) {
        organisation.idle.erase({caller.start_tag, caller.number});
    }
    else {
        organisation.ready.erase(rank_of(caller));
    }
}

void fair_queue::attach(organisation_state& organisation, caller_state& caller)
{
    if (caller.items.empty()) {
        organisation.idle.emplace(rank{caller.start_tag, caller.number}, &caller);
    }
    else {
        organisation.ready.emplace(rank_of(caller), &caller);
    }
}

std::optional<queued_request> fair_queue::push(queued_request request, std::uint32_t weight)
{
    auto& slot = items_[request.key];
    if (slot) {
        return std::nullopt;
    }
    slot = std::make_unique<item>();
    auto& it = *slot;
    it.request = std::move(request);
    it.sequence = next_sequence_++;
    auto& organisation = find_or_add_organisation(it.request.organisation);
    auto& caller = find_or_add_caller(organisation, it.request.caller);
    it.organisation = &organisation;
    it.caller = &caller;

    detach(organisation);
    detach(organisation, caller);
    organisation.weight = std::max<std::uint32_t>(1, weight);
    if (organisation.items.empty()) {
        organisation.start_tag = std::max(organisation.start_tag, virtual_time_);
    }
    if (caller.items.empty()) {
        caller.start_tag = std::max(caller.start_tag, organisation.virtual_time);
    }
    organisation.items.emplace(rank_of(it), &it);
    caller.items.emplace(rank_of(it), &it);
    deadlines_.emplace(std::pair{it.request.start_by, it.sequence}, &it);
    attach(organisation, caller);
    attach(organisation);
    if (items_.size() <= capacity_) {
        return std::nullopt;
    }
    return remove(*weighted_lengths_.rbegin()->second->items.rbegin()->second);
}

const queued_request* fair_queue::front() const
{
    if (ready_.empty()) {
        return nullptr;
    }
    const auto& organisation = *ready_.begin()->second;
    const auto& caller = *organisation.ready.begin()->second;
    return &caller.items.begin()->second->request;
}

queued_request fair_queue::pop()
{
    auto& organisation = *ready_.begin()->second;
    auto& caller = *organisation.ready.begin()->second;
    auto& it = *caller.items.begin()->second;
    const double work = std::max<std::uint32_t>(1, it.request.work_tokens);
    virtual_time_ = std::max(virtual_time_, organisation.start_tag);
    organisation.virtual_time = std::max(organisation.virtual_time, caller.start_tag);
    detach(organisation);
    detach(organisation, caller);
    organisation.start_tag += work / organisation.weight;
    caller.start_tag += work;
    attach(organisation, caller);
    attach(organisation);
    return remove(it);
}

void fair_queue::complete(const organisation_id& organisation, const caller_id& caller,
                          std::uint32_t estimated, std::uint32_t actual)
{
    const auto found = organisations_.find(organisation);
    const auto correction = static_cast<double>(actual) - std::max<std::uint32_t>(1, estimated);
    if (found == organisations_.end() && correction <= 0) {
        return;
    }
    auto& state = find_or_add_organisation(organisation);
    auto& caller_record = find_or_add_caller(state, caller);
    detach(state);
    detach(state, caller_record);
    state.start_tag = std::max(state.start_tag + correction / state.weight, virtual_time_);
    caller_record.start_tag = std::max(caller_record.start_tag + correction, state.virtual_time);
    attach(state, caller_record);
    attach(state);
}

queued_request fair_queue::remove(item& it)
{
    auto& organisation = *it.organisation;
    auto& caller = *it.caller;
    detach(organisation);
    detach(organisation, caller);
    organisation.items.erase(rank_of(it));
    caller.items.erase(rank_of(it));
    attach(organisation, caller);
    attach(organisation);
    prune(organisation);
    deadlines_.erase({it.request.start_by, it.sequence});
    auto request = std::move(it.request);
    items_.erase(request.key);
    prune();
    return request;
}

void fair_queue::prune(organisation_state& organisation)
{
    auto& idle = organisation.idle;
    while (!idle.empty() && idle.begin()->first.first <= organisation.virtual_time) {
        const auto id = idle.begin()->second->id;
        idle.erase(idle.begin());
        organisation.callers.erase(id);
    }
}

void fair_queue::prune()
{
    while (!idle_.empty() && idle_.begin()->first.first <= virtual_time_) {
        const auto id = idle_.begin()->second->id;
        idle_.erase(idle_.begin());
        organisations_.erase(id);
    }
}

bool fair_queue::cancel(const attempt_key& key)
{
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return false;
    }
    remove(*found->second);
    return true;
}

std::vector<queued_request> fair_queue::expire(time_point now)
{
    std::vector<queued_request> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first.first < now) {
        expired.push_back(remove(*deadlines_.begin()->second));
    }
    return expired;
}

std::vector<queued_request> fair_queue::take_all()
{
    std::vector<queued_request> taken;
    taken.reserve(items_.size());
    while (!deadlines_.empty()) {
        taken.push_back(remove(*deadlines_.begin()->second));
    }
    return taken;
}

void fair_queue::set_blocked(const organisation_id& organisation, bool blocked)
{
    const auto found = organisations_.find(organisation);
    if (found == organisations_.end()) {
        return;
    }
    auto& state = *found->second;
    detach(state);
    state.is_blocked = blocked;
    attach(state);
}

std::optional<time_point> fair_queue::next_deadline() const
{
    if (deadlines_.empty()) {
        return std::nullopt;
    }
    return deadlines_.begin()->first.first;
}

} // namespace endivelatch
