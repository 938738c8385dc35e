#include "mirror_simulation.hpp"

#include <algorithm>
#include <array>

namespace endivelatch {

namespace {

constexpr std::size_t objects_per_page = 3;
constexpr duration removal_grace = std::chrono::milliseconds{1'800};
/// Upper limit of the changes that the store loses when it comes back from a copy.
constexpr std::uint64_t max_lost = 8;
constexpr duration max_time_step = std::chrono::milliseconds{700};

} // namespace

void history_store::put(const std::string& name)
{
    ++revision_;
    const auto content = "content " + to_string(store_position{era_, store_revision{revision_}});
    history_[name].push_back(
        {revision_, mirrored_object{name, store_revision{revision_}, content}});
}

void history_store::remove(const std::string& name)
{
    if (find(history_, name, revision_) != nullptr) {
        history_[name].push_back({++revision_, std::nullopt});
    }
}

void history_store::restore(std::uint64_t at)
{
    former_eras_[era_] = {history_, revision_};
    for (auto& [name, states] : history_) {
        std::erase_if(states, [at](const auto& it) { return it.since > at; });
    }
    revision_ = at;
    compacted_until_ = std::min(compacted_until_, at);
    era_ = era_.next();
}

const mirrored_object* history_store::find(const object_history& history, const std::string& name,
                                           std::uint64_t at)
{
    const auto it = history.find(name);
    const mirrored_object* found = nullptr;
    if (it == history.end()) {
        return found;
    }
    for (const auto& state : it->second) {
        if (state.since <= at) {
            found = state.object ? &*state.object : nullptr;
        }
    }
    return found;
}

object_page history_store::list(const std::string& after, std::size_t page_size,
                                std::uint64_t at) const
{
    object_page page;
    page.position = {era_, store_revision{at}};
    for (auto it = history_.upper_bound(after); it != history_.end(); ++it) {
        const auto* object = find(history_, it->first, at);
        if (object == nullptr) {
            continue;
        }
        if (page.objects.size() == page_size) {
            page.has_more = true;
            break;
        }
        page.objects.push_back(*object);
    }
    return page;
}

std::optional<object_changes> history_store::changes_since(std::uint64_t revision,
                                                           bool has_old_revisions) const
{
    if (revision < compacted_until_ || revision > revision_) {
        return std::nullopt;
    }
    std::map<std::uint64_t, object_change> by_revision;
    for (const auto& [name, states] : history_) {
        mirrored_object previous;
        for (const auto& state : states) {
            if (state.object) {
                previous = *state.object;
            }
            if (state.since <= revision) {
                continue;
            }
            object_change change{previous, !state.object};
            if (change.is_deleted && !has_old_revisions) {
                change.object.revision = store_revision{state.since};
            }
            by_revision.emplace(state.since, std::move(change));
        }
    }
    object_changes all;
    all.position = {era_, store_revision{revision_}};
    for (auto& [at, change] : by_revision) {
        all.changes.push_back(std::move(change));
    }
    return all;
}

bool history_store::was_state_since(store_position position, const std::string& name,
                                    const mirrored_object* expected) const
{
    const auto former = former_eras_.find(position.era);
    if (former == former_eras_.end() && position.era != era_) {
        return false;
    }
    const bool is_former = former != former_eras_.end();
    const auto& history = is_former ? former->second.history : history_;
    const auto last = is_former ? former->second.revision : revision_;
    for (auto at = position.revision.value(); at <= last; ++at) {
        const auto* actual = find(history, name, at);
        if (expected == nullptr ? actual == nullptr : actual != nullptr && *actual == *expected) {
            return true;
        }
    }
    return false;
}

std::vector<std::string> history_store::names() const
{
    std::vector<std::string> names;
    for (const auto& [name, states] : history_) {
        names.push_back(name);
    }
    return names;
}

mirror_report& mirror_report::operator+=(const mirror_report& other)
{
    steps += other.steps;
    changes += other.changes;
    copies += other.copies;
    whole_copies += other.whole_copies;
    losses += other.losses;
    restarts += other.restarts;
    restores += other.restores;
    incomplete += other.incomplete;
    diverged += other.diverged;
    return *this;
}

mirror_simulation::mirror_simulation(std::uint64_t seed, copy_fault fault)
    : random_{seed}, fault_{fault}
{
    for (std::size_t n = 0; n < name_count / 2; ++n) {
        store_.put(random_name());
    }
    for (std::size_t n = 0; n < node_count; ++n) {
        nodes_.push_back(
            {object_mirror{mirror_settings{.removal_grace = removal_grace}, n}, {}, {}, false, {}});
        take_effects(nodes_.back(), nodes_.back().mirror.start(clock_.now()));
    }
}

mirror_report mirror_simulation::run(std::size_t steps)
{
    for (std::size_t n = 0; n < steps; ++n) {
        step();
        ++report_.steps;
        for (auto& it : nodes_) {
            check(it);
        }
    }
    settle();
    return report_;
}

void mirror_simulation::step()
{
    auto& it = nodes_[random_.below(nodes_.size())];
    switch (random_.below(24)) {
    case 0:
    case 1:
    case 2:
    case 3:
        change_store();
        break;
    case 4:
        if (random_.below(8) == 0) {
            store_.compact();
        }
        else if (random_.below(8) == 0) {
            ++report_.restores;
            store_.restore(store_.revision() -
                           random_.below(std::min(store_.revision(), max_lost)));
        }
        break;
    case 5:
        if (random_.below(4) == 0) {
            restart(random_.below(nodes_.size()));
        }
        break;
    case 6:
        fail_call(it);
        break;
    case 7:
        if (random_.below(4) == 0) { // As after a pause of the process.
            it.response.reset();
            it.has_expired = false;
            take_effects(it, it.mirror.start(clock_.now()));
        }
        break;
    case 8:
    case 9:
        clock_.advance(duration{static_cast<std::int64_t>(
            random_.below(static_cast<std::uint64_t>(max_time_step.count())))});
        tick_all();
        break;
    case 10:
    case 11:
        request_copy();
        break;
    case 12:
    case 13:
        answer_request();
        break;
    case 14:
    case 15:
    case 16:
        deliver_copy();
        break;
    default:
        it.response || it.has_expired ? deliver_response(it) : answer_call(it);
    }
}

void mirror_simulation::change_store()
{
    ++report_.changes;
    switch (random_.below(5)) {
    case 0:
        store_.change_other_kind();
        break;
    case 1:
    case 2:
        store_.remove(random_name());
        break;
    default:
        store_.put(random_name());
    }
}

void mirror_simulation::answer_call(node& it)
{
    if (!it.call) {
        return;
    }
    if (const auto* list = std::get_if<list_objects>(&*it.call)) {
        // A page may be a little old, like a read that a call allows to be stale.
        const auto age = random_.below(6) == 0 ? random_.below(4) : 0;
        const auto at = store_.revision() - std::min(age, store_.revision() - 1);
        it.response = store_.list(list->after, objects_per_page, at);
        return;
    }
    const auto& watch = std::get<watch_objects>(*it.call);
    auto changes = store_.changes_since(watch.after.revision.value(), random_.below(2) == 0);
    it.has_expired = !changes;
    it.expired_in = store_.era();
    if (changes) {
        it.response = std::move(*changes);
    }
}

void mirror_simulation::deliver_response(node& it)
{
    it.call.reset();
    if (std::exchange(it.has_expired, false)) {
        it.mirror.begin_era(it.expired_in, clock_.now());
        take_effects(it, it.mirror.handle_history_expired(clock_.now()));
        return;
    }
    auto response = std::move(*it.response);
    it.response.reset();
    if (auto* page = std::get_if<object_page>(&response)) {
        take_effects(it, it.mirror.handle_response(std::move(*page), clock_.now()));
        return;
    }
    auto changes = std::get<object_changes>(std::move(response));
    take_effects(it, it.mirror.handle_response(std::move(changes), clock_.now()));
}

void mirror_simulation::fail_call(node& it)
{
    if (!it.call) {
        return;
    }
    ++report_.losses;
    it.call.reset();
    it.response.reset();
    it.has_expired = false;
    take_effects(it, it.mirror.handle_call_failure(clock_.now()));
}

void mirror_simulation::request_copy()
{
    const auto from = random_.below(nodes_.size());
    const auto to = random_.below(nodes_.size());
    if (from != to) {
        requests_.push_back({from, to, nodes_[from].mirror.position(),
                             nodes_[from].mirror.is_exact() && random_.below(4) != 0});
    }
}

void mirror_simulation::answer_request()
{
    if (requests_.empty()) {
        return;
    }
    const auto n = static_cast<std::ptrdiff_t>(random_.below(requests_.size()));
    const auto request = requests_[static_cast<std::size_t>(n)];
    requests_.erase(requests_.begin() + n);
    const auto& holder = nodes_[request.to];
    if (!holder.mirror.is_exact() || holder.mirror.position() <= request.newer_than) {
        return;
    }
    copies_.push_back({request.from, request.newer_than, make_copy(holder, request)});
}

std::variant<object_page, object_changes> mirror_simulation::make_copy(const node& from,
                                                                       const copy_request& request)
{
    const auto raised = fault_ == copy_fault::states_later_revision ? 2U : 0U;
    auto position = from.mirror.position();
    position.revision = store_revision{position.revision.value() + raised};
    if (fault_ == copy_fault::states_later_era) {
        position.era = store_.era();
    }
    auto changes =
        request.accepts_changes ? from.mirror.changes_since(request.newer_than) : std::nullopt;
    if (changes) {
        changes->position = position;
        if (fault_ == copy_fault::drops_removals) {
            std::erase_if(changes->changes, [](const auto& it) { return it.is_deleted; });
        }
        return *changes;
    }
    object_page page;
    page.position = position;
    for (const auto& [name, object] : from.mirror.objects()) {
        page.objects.push_back(object);
    }
    if (fault_ == copy_fault::keeps_removed_objects) {
        page.objects.clear();
        for (const auto* object : from.mirror.objects_in_use()) {
            page.objects.push_back(*object);
        }
    }
    return page;
}

/// Delivers the copies in random order; some are lost.
void mirror_simulation::deliver_copy()
{
    if (copies_.empty()) {
        return;
    }
    const auto n = static_cast<std::ptrdiff_t>(random_.below(copies_.size()));
    auto message = std::move(copies_[static_cast<std::size_t>(n)]);
    copies_.erase(copies_.begin() + n);
    if (random_.below(5) == 0) {
        ++report_.losses;
        return;
    }
    ++report_.copies;
    auto& receiver = nodes_[message.to].mirror;
    if (auto* page = std::get_if<object_page>(&message.copy)) {
        ++report_.whole_copies;
        receiver.merge_peer_copy(std::move(*page), clock_.now());
        return;
    }
    receiver.merge_peer_copy(std::get<object_changes>(std::move(message.copy)), message.since,
                             clock_.now());
}

void mirror_simulation::restart(std::size_t n)
{
    ++report_.restarts;
    std::erase_if(requests_, [n](const auto& it) { return it.from == n || it.to == n; });
    std::erase_if(copies_, [n](const auto& it) { return it.to == n; });
    nodes_[n] = {object_mirror{mirror_settings{.removal_grace = removal_grace}, random_()},
                 {},
                 {},
                 false,
                 {}};
    take_effects(nodes_[n], nodes_[n].mirror.start(clock_.now()));
}

void mirror_simulation::take_effects(node& it, mirror_effects&& effects)
{
    for (auto& effect : effects) {
        if (!std::holds_alternative<mirror_updated>(effect)) {
            it.call = std::move(effect);
        }
    }
}

void mirror_simulation::tick_all()
{
    for (auto& it : nodes_) {
        take_effects(it, it.mirror.tick(clock_.now()));
    }
}

/// Ends all faults and lets every mirror read from the store until nothing changes.
void mirror_simulation::settle()
{
    copies_.clear();
    requests_.clear();
    store_.change_other_kind();
    for (int round = 0; round < 20; ++round) {
        clock_.advance(max_time_step);
        tick_all();
        for (auto& it : nodes_) {
            if (!it.response && !it.has_expired) {
                answer_call(it);
            }
            if (it.response || it.has_expired) {
                deliver_response(it);
            }
        }
    }
    for (auto& it : nodes_) {
        for (const auto& name : store_.names()) {
            const auto found = it.mirror.objects().find(name);
            const auto* held = found == it.mirror.objects().end() ? nullptr : &found->second;
            const store_position last{store_.era(), store_revision{store_.revision()}};
            report_.diverged += store_.was_state_since(last, name, held) ? 0 : 1;
        }
        report_.diverged += it.mirror.objects_in_use().size() == it.mirror.objects().size() ? 0 : 1;
    }
}

void mirror_simulation::check(node& it)
{
    if (!it.mirror.is_synced()) {
        return;
    }
    for (const auto& name : store_.names()) {
        const auto found = it.mirror.objects().find(name);
        const auto* held = found == it.mirror.objects().end() ? nullptr : &found->second;
        const bool is_complete = store_.was_state_since(it.mirror.position(), name, held);
        report_.incomplete += is_complete ? 0 : 1;
    }
}

} // namespace endivelatch
