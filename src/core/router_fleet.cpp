#include "endivelatch/core/router.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/overloaded.hpp"

#include <algorithm>
#include <charconv>

/// Handling of membership, configuration, target ownership and routing.
namespace endivelatch {

namespace {

constexpr duration join_delay = std::chrono::milliseconds{1500};
constexpr duration publish_period = std::chrono::milliseconds{200};
/// Admission discounts load reports that are not repeated at least this often.
constexpr duration load_refresh_period = std::chrono::seconds{2};
constexpr duration reconcile_period = std::chrono::seconds{1};
/// A load reported by a target is assumed to have been measured this long before it arrived.
constexpr duration load_report_lag = std::chrono::seconds{1};
constexpr std::uint32_t probe_failure_threshold = 3;
constexpr std::size_t max_fleet_wide_targets = 200;
/// Published instead of a load for a target that is down.
constexpr const char* target_down_value = "down";

/// Returns the load that an owner publishes for a target that is up, in the form `RUN.IN_FLIGHT`.
std::string load_value(incarnation run, std::uint32_t in_flight)
{
    return std::to_string(run.value()) + '.' + std::to_string(in_flight);
}

struct published_load {
    incarnation run;
    std::uint32_t in_flight = 0;
};

std::optional<published_load> parse_load_value(const std::string& value)
{
    std::uint64_t run = 0;
    std::uint32_t in_flight = 0;
    const auto* last = value.data() + value.size();
    const auto first = std::from_chars(value.data(), last, run);
    if (first.ec != std::errc{} || first.ptr == last) {
        return std::nullopt;
    }
    const auto second = std::from_chars(first.ptr + 1, last, in_flight);
    if (second.ec != std::errc{}) {
        return std::nullopt;
    }
    return published_load{incarnation{run}, in_flight};
}

std::string shard_name(std::uint32_t shard)
{
    return "ledger/" + std::to_string(shard);
}

} // namespace

void router::apply(membership_effects effects, const moment& at, outbox& out)
{
    for (auto& effect : effects) {
        std::visit(overloaded{
                       [&](send_packet& e) {
                           out.push(send_gossip{std::move(e.to), std::move(e.packet)});
                       },
                       [&](const member_changed& e) { on_member_changed(e.member, at, out); },
                       [&](const summary_changed& e) { on_summary_changed(e, at, out); },
                       [&](const run_superseded& e) {
                           out.log(log_event{"run_superseded"}.add("by", e.by.value()));
                           out.push(exit_process{});
                       },
                       [&](const pause_noticed& e) {
                           out.log(log_event{"pause_noticed"}.add("late_us", e.late.count()));
                       },
                       [&](const config_seen& e) {
                           apply(store_.on_peer_digest(e.router, e.config.digest, at.now), at, out);
                       },
                   },
                   effect);
    }
}

void router::on_member_changed(const member& state, const moment& at, outbox& out)
{
    const auto known = members_.find(state.id);
    const bool restarted = known != members_.end() && known->second.run != state.run;
    const bool died = state.status == member_status::dead;
    out.log(log_event{"member_changed"}
                .add("peer", state.id)
                .add("incarnation", state.run.value())
                .add("status", to_string(state.status)));
    members_[state.id] = state;
    const bool is_self = state.id == settings_.self.id;
    if (!is_self || joined_) {
        apply(ownership_.set_router(state), at, out);
    }
    if (!is_self && (restarted || died)) {
        admission_.forget_router(state.id);
        entry_requests_.on_peer_lost(state.id, at, out);
    }
    routers_changed(at, out);
}

void router::routers_changed(const moment& at, outbox& out)
{
    std::vector<router_id> peers;
    for (const auto& [id, state] : members_) {
        const bool live =
            state.status == member_status::alive || state.status == member_status::suspect;
        if (live && id != settings_.self.id) {
            peers.push_back(id);
        }
    }
    apply(admission_.set_peers_needed(!peers.empty(), at.now), at, out);
    admission_.set_routers(static_cast<std::uint32_t>(peers.size() + 1));
    store_.set_peers(std::move(peers));
    if (!joined_) {
        return;
    }
    std::set<std::uint32_t> shards;
    for (std::uint32_t n = 0; n < ledger_shards; ++n) {
        if (ownership_.shard_owner(shard_name(n)) == settings_.self.id) {
            shards.insert(n);
        }
    }
    bookings_.set_owned(std::move(shards));
    const auto watchers =
        ownership_.select_watchers(settings_.self.domain, settings_.watchers_per_domain);
    const bool is_watcher =
        std::find(watchers.begin(), watchers.end(), settings_.self.id) != watchers.end();
    apply(store_.set_watching(is_watcher, at.now), at, out);
}

void router::join_owners(const moment& at, outbox& out)
{
    if (joined_ || at.now - started_at_ < join_delay || !store_.ready()) {
        return;
    }
    joined_ = true;
    out.log(log_event{"router_joined"}.add("routers", members_.size()));
    apply(ownership_.set_router(members_.at(settings_.self.id)), at, out);
    routers_changed(at, out);
}

void router::on_summary_changed(const summary_changed& e, const moment& at, outbox& out)
{
    const auto& from = e.router;
    const auto& key = e.key;
    const auto& value = e.value;
    if (from == settings_.self.id) {
        return;
    }
    if (key.kind == summary_kind::organisation_usage) {
        std::uint32_t n = 0;
        std::from_chars(value.data(), value.data() + value.size(), n);
        apply(admission_.remote_usage(from, organisation_id{key.id}, n, at.now), at, out);
        return;
    }
    const target_id target{key.id};
    if (key.kind != summary_kind::target_load || owned_.contains(target) || value.empty()) {
        return;
    }
    const auto load = parse_load_value(value);
    if (!load) {
        directory_.target_down(target, at.now);
        apply(admission_.set_available(target, false, at.now), at, out);
        return;
    }
    directory_.target_up(target, load->run, at.now);
    directory_.set_load(target, load->in_flight, at.now);
    apply(admission_.set_available(target, true, at.now), at, out);
    apply(admission_.pool_report(target, load->in_flight, at.now, at.now), at, out);
}

void router::apply(const configuration_effects& effects, const moment& at, outbox& out)
{
    for (const auto& effect : effects) {
        std::visit(overloaded{
                       [&](const platform_call& e) { out.push(call_platform{e}); },
                       [&](const send_config& e) { out.send(e.to, e.update); },
                       [&](const query_config& e) { out.send(e.to, e.query); },
                       [&](const configuration_changed&) { apply_configuration(at, out); },
                       [&](const configuration_rejected& e) {
                           out.count("configuration_rejected");
                           out.log(log_event{"configuration_rejected"}
                                       .add("object", e.name)
                                       .add("version", e.version.value())
                                       .add("findings", to_string(e.errors)));
                       },
                       [&](const object_confirmed& e) {
                           apply(administration_.on_object_confirmed(e, at.now), at, out);
                       },
                       [&](const admin_response& e) {
                           out.push(http_respond{exchange_number{e.exchange.value()},
                                                 e.status,
                                                 {{"content-type", "application/json"}},
                                                 e.json});
                       },
                   },
                   effect);
    }
}

void router::apply_configuration(const moment& at, outbox& out)
{
    const auto& config = store_.current();
    out.log(log_event{"configuration_in_force"}
                .add("version", store_.highest_version().value())
                .add("organisations", config.organisations.size())
                .add("targets", config.targets.size()));
    access_.configure(config);
    retry_budget_.set_share(config.defaults.retry_share);
    bookings_.set_key_retention(config.defaults.booking_retention);
    bookings_.set_run_timeout(config.defaults.request_timeout);
    std::vector<target_document> targets;
    for (const auto& [id, target] : config.targets) {
        directory_.set_target(target);
        targets.push_back(target);
    }
    for (const auto& id : known_targets_) {
        if (!config.targets.contains(id)) {
            directory_.remove_target(id);
            owned_.erase(id);
        }
    }
    known_targets_.clear();
    for (const auto& target : targets) {
        known_targets_.insert(target.id);
    }
    apply(admission_.configure(config, at.now), at, out);
    apply(ownership_.set_targets(targets), at, out);
    for (const auto& target : targets) {
        if (target.draining) {
            apply(admission_.drain(target.id, at.now), at, out);
        }
    }
    membership_.set_config({store_.highest_version().value(), store_.digest()});
}

void router::apply(const ownership::changes& ownership_changes, const moment& at, outbox& out)
{
    for (const auto& change : ownership_changes) {
        if (change.owner == settings_.self.id) {
            take_ownership(change.target, change.previous_owner, at, out);
        }
        else if (change.previous_owner == settings_.self.id) {
            owned_.erase(change.target);
            directory_.forget_evictions(change.target);
            apply(admission_.stop_owning(change.target, at.now), at, out);
        }
    }
}

void router::take_ownership(const target_id& target, const std::optional<router_id>& former,
                            const moment& at, outbox& out)
{
    owned_[target] = {at.now, 0};
    const auto* state = directory_.find(target);
    former_owner_info before;
    before.had_owner = true;
    if (state != nullptr) {
        before.last_in_flight = state->in_flight;
    }
    apply(admission_.adopt(target, before, at.now), at, out);
    out.log(log_event{"target_adopted"}
                .add("target", target)
                .add("former", former ? former->str() : std::string{}));
    const auto known = former ? members_.find(*former) : members_.end();
    const bool can_answer = known != members_.end() && known->second.status != member_status::dead;
    if (can_answer) {
        out.send(*former, handover_query{target, admission_.adoption(target)});
    }
}

void router::refresh_remote_loads(const moment& at, outbox& out)
{
    if (at.now < next_load_refresh_) {
        return;
    }
    next_load_refresh_ = at.now + load_refresh_period;
    for (const auto& id : known_targets_) {
        const auto* state = directory_.find(id);
        const bool is_reported = state != nullptr && state->up && !owned_.contains(id);
        if (is_reported && route_to(id, ownership_.owner_of(id))) {
            apply(admission_.pool_report(id, state->in_flight, at.now, at.now), at, out);
        }
    }
}

void router::reconcile_ownership(const moment& at, outbox& out)
{
    if (!joined_ || at.now < next_reconcile_) {
        return;
    }
    next_reconcile_ = at.now + reconcile_period;
    for (const auto& id : ownership_.owned_by(settings_.self.id)) {
        if (!admission_.owns(id)) {
            take_ownership(id, std::nullopt, at, out);
        }
    }
}

void router::apply(const admission_effects& effects, const moment& at, outbox& out)
{
    for (const auto& effect : effects) {
        std::visit(
            overloaded{
                [&](const start_run& e) {
                    const auto& targets = store_.current().targets;
                    const auto document = targets.find(e.target);
                    if (document == targets.end()) {
                        runs_.refuse(e.key, "the target was removed", {}, at, out);
                        return;
                    }
                    record_dispatch(e);
                    runs_.start(e.key, document->second, out);
                },
                [&](const refuse& e) {
                    runs_.refuse(e.key, std::string{to_string(e.reason)}, e.retry_after, at, out);
                },
                [&](const move_request& e) { runs_.refuse(e.key, not_owner_reason, {}, at, out); },
                [&](const released& e) {
                    const auto to = pending_handovers_.find(e.target);
                    if (to != pending_handovers_.end()) {
                        out.send(to->second.router,
                                 handover_answer{e.target, e.in_flight, to->second.adoption});
                        pending_handovers_.erase(to);
                    }
                },
                [&](const ownership_doubtful& e) {
                    out.log(log_event{"ownership_doubtful"}.add("target", e.target));
                },
            },
            effect);
    }
}

void router::record_dispatch(const start_run& e)
{
    const auto* request = runs_.request_of(e.key);
    const auto* state = directory_.find(e.target);
    if (request != nullptr && state != nullptr && !request->chat.empty()) {
        directory_.cache_filled(e.target, state->run, request->prefix_hash);
    }
}

void router::probe_targets(const moment& at, outbox& out)
{
    const auto& targets = store_.current().targets;
    for (auto& [id, probe_state] : owned_) {
        const auto document = targets.find(id);
        if (document == targets.end() || at.now < probe_state.next_probe) {
            continue;
        }
        probe_state.next_probe = at.now + settings_.probe_period;
        out.push(
            probe_target{id, document->second.url, document->second.kind == target_kind::engine});
    }
}

void router::publish_loads(const moment& at)
{
    if (at.now < next_publish_) {
        return;
    }
    next_publish_ = at.now + publish_period;
    const bool fleet_wide = store_.current().targets.size() <= max_fleet_wide_targets;
    const auto scope = fleet_wide ? summary_scope::fleet : summary_scope::domain;
    for (const auto& [id, probe_state] : owned_) {
        const auto* state = directory_.find(id);
        if (state == nullptr) {
            continue;
        }
        const auto n = admission_.in_flight(id);
        directory_.set_load(id, n, at.now);
        membership_.publish({summary_kind::target_load, id.str()}, scope,
                            state->up ? load_value(state->run, n) : target_down_value);
    }
    std::set<organisation_id> in_use;
    for (const auto& usage : admission_.summary().organisations) {
        in_use.insert(usage.organisation);
        membership_.publish({summary_kind::organisation_usage, usage.organisation.str()},
                            summary_scope::fleet, std::to_string(usage.in_flight));
    }
    for (const auto& id : published_organisations_) {
        if (!in_use.contains(id)) {
            membership_.publish({summary_kind::organisation_usage, id.str()}, summary_scope::fleet,
                                "");
        }
    }
    published_organisations_ = std::move(in_use);
}

void router::on(const target_load_reported& e, const moment& at, outbox& out)
{
    const auto it = owned_.find(e.target);
    if (it == owned_.end()) {
        return;
    }
    it->second.failed_probes = 0;
    const auto* state = directory_.find(e.target);
    if (state == nullptr) {
        return;
    }
    if (!state->up || state->run != e.run) {
        out.log(log_event{"target_up"}.add("target", e.target).add("run", e.run.value()));
        directory_.target_up(e.target, e.run, at.now);
    }
    apply(admission_.set_available(e.target, true, at.now), at, out);
    apply(admission_.target_reported_load(e.target, e.in_flight, at.now - load_report_lag, at.now),
          at, out);
}

void router::on(const target_probe_failed& e, const moment& at, outbox& out)
{
    const auto it = owned_.find(e.target);
    if (it == owned_.end()) {
        return;
    }
    it->second.failed_probes += 1;
    if (it->second.failed_probes != probe_failure_threshold) {
        return;
    }
    out.log(log_event{"target_down"}.add("target", e.target));
    directory_.target_down(e.target, at.now);
    apply(admission_.set_available(e.target, false, at.now), at, out);
}

void router::on(const target_cache_changed& e, const moment& /*at*/, outbox& /*out*/)
{
    if (e.gap) {
        directory_.cache_gap(e.target);
    }
    for (const auto& change : e.changes) {
        if (change.stored) {
            directory_.cache_filled(e.target, e.run, change.prefix_hash);
        }
        else {
            directory_.cache_evicted(e.target, e.run, change.prefix_hash);
        }
    }
}

void router::on(const target_answered& e, const moment& at, outbox& out)
{
    const auto* request = runs_.request_of(e.key);
    runs_.on_answered(e, request == nullptr ? std::string{} : hint_for(*request, at), out);
}

void router::on(const target_data_received& e, const moment& /*at*/, outbox& out)
{
    runs_.on_data(e, out);
}

void router::on(const target_closed& e, const moment& at, outbox& out)
{
    runs_.on_closed(e, at, out);
}

void router::on(const platform_answered& e, const moment& at, outbox& out)
{
    bookings_.on_platform_answered(e.answer, at, out);
    apply(store_.on_platform_answered(e.answer, at.now), at, out);
    apply(administration_.on_platform_answered(e.answer, at.now), at, out);
}

std::string router::hint_for(const forward_request& request, const moment& at) const
{
    const auto* state = directory_.find(request.target);
    if (request.chat.empty() || state == nullptr) {
        return {};
    }
    return hints_.seal({request.organisation, request.chat, request.target, state->run, at.wall,
                        request.work_tokens});
}

std::optional<route> router::route_to(const target_id& target,
                                      const std::optional<router_id>& owner)
{
    const auto it = owner ? members_.find(*owner) : members_.end();
    if (it == members_.end() || it->second.status == member_status::dead) {
        return std::nullopt;
    }
    return route{target, it->first, it->second.run};
}

std::optional<route> router::find_route(const request_spec& spec,
                                        const std::vector<target_id>& tried, const moment& at)
{
    if (!spec.key.empty()) {
        return route_to({},
                        ownership_.shard_owner(shard_name(shard_of(spec.organisation, spec.key))));
    }
    route_request request;
    request.pool = spec.pool;
    request.organisation = spec.organisation;
    request.chat = spec.chat;
    request.prefix_hash = spec.prefix_hash;
    request.hint = hints_.open(spec.hint, spec.organisation, spec.chat, at.wall);
    request.keeps_hints = request.hint.has_value();
    const auto choice = choose_targets(directory_, request, route_settings{});
    const auto first_choice = choice.candidates.empty() ? target_id{} : choice.candidates.front();
    std::size_t remaining = choice.candidates.size();
    for (const auto& target : choice.candidates) {
        --remaining;
        if (std::find(tried.begin(), tried.end(), target) != tried.end()) {
            continue;
        }
        auto found = route_to(target, ownership_.owner_of(target));
        if (!found) {
            continue;
        }
        const bool is_warm = choice.reason == route_reason::warm && target == first_choice;
        const bool is_last = remaining == 0;
        found->wait = is_last ? duration::max() : is_warm ? choice.warm_wait : duration::zero();
        return found;
    }
    return std::nullopt;
}

} // namespace endivelatch
