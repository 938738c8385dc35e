#include "endivelatch/entry/fleet_view.hpp"

#include "endivelatch/membership/packet_size.hpp"
#include "endivelatch/wire/codec.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

namespace {

const summary_key ready_key{summary_kind::router_state, "ready"};
constexpr std::string_view ready_value = "1";
constexpr duration min_timer_delay = std::chrono::milliseconds{1};

summary_key copy_key(object_kind kind)
{
    return {summary_kind::config_version, std::string{to_string(kind)}};
}

std::optional<object_kind> kind_of(const summary_key& key)
{
    for (const auto kind :
         {object_kind::configuration, object_kind::targets, object_kind::evacuations}) {
        if (key == copy_key(kind)) {
            return kind;
        }
    }
    return std::nullopt;
}

member make_local_member(const entry_settings& settings, incarnation run)
{
    member self;
    self.id = settings.id;
    self.run = run;
    self.domain = settings.domain;
    self.region = settings.region;
    self.gossip = settings.gossip;
    self.link = settings.peers;
    self.http = settings.requests;
    return self;
}

} // namespace

membership_settings entry_membership_settings()
{
    membership_settings settings;
    settings.period = std::chrono::milliseconds{400};
    settings.direct_timeout = std::chrono::milliseconds{150};
    settings.probe_timeout = std::chrono::milliseconds{350};
    settings.suspicion_base_periods = 4;
    return settings;
}

std::size_t load_report_capacity(std::size_t packet_size, bool has_slowdowns)
{
    const auto available = max_gossip_size - std::min(packet_size, max_gossip_size);
    const auto report_size = load_report_size + (has_slowdowns ? slowdown_size : 0);
    return std::min(available / report_size, load_table::max_reports_per_packet);
}

std::size_t failure_report_capacity(std::size_t packet_size)
{
    const auto available = max_gossip_size - std::min(packet_size, max_gossip_size);
    return std::min(available / failure_report_size, failure_table::max_reports_per_packet);
}

std::size_t limit_report_capacity(std::size_t packet_size)
{
    const auto available = max_gossip_size - std::min(packet_size, max_gossip_size);
    return std::min(available / limit_report_size, limit_table::max_reports_per_packet);
}

bool has_room_for_crash_news(std::size_t packet_size)
{
    constexpr auto max_size = max_crash_reports_per_packet * crash_report_size +
                              max_clearances_per_packet * clearance_size;
    return packet_size + max_size <= max_gossip_size;
}

std::string_view to_string(object_kind kind)
{
    switch (kind) {
    case object_kind::configuration:
        return "configuration";
    case object_kind::targets:
        return "targets";
    case object_kind::evacuations:
        return "evacuations";
    case object_kind::routers:
        return "routers";
    }
    return "unknown";
}

fleet_view::fleet_view(event_loop& loop, const entry_settings& settings, incarnation run,
                       fleet_view_callbacks callbacks)
    : loop_{&loop}, callbacks_{std::move(callbacks)}, self_{settings.id}, domain_{settings.domain},
      membership_{make_local_member(settings, run), entry_membership_settings(),
                  stable_hash(settings.id.str())},
      socket_{loop, [this](const endpoint& from, std::string_view bytes) { receive(from, bytes); }},
      address_{settings.gossip}, timer_{loop, [this] { tick(); }},
      load_packet_timer_{loop, [this] { send_load_packets(); }}, run_{run}, random_{stable_hash(
                                                                                self_.str())}
{
    add_seeds(settings.seeds);
}

findings fleet_view::start()
{
    started_at_ = loop_->now();
    auto errors = socket_.start(address_);
    tick();
    load_packet_timer_.start(load_packet_interval);
    return errors;
}

void fleet_view::add_seeds(const std::vector<endpoint>& seeds)
{
    for (const auto& seed : seeds) {
        if (seed != address_ && std::find(seeds_.begin(), seeds_.end(), seed) == seeds_.end()) {
            seeds_.push_back(seed);
        }
    }
    membership_.set_seeds(seeds_);
}

void fleet_view::publish_ready(bool is_ready)
{
    membership_.publish(ready_key, summary_scope::fleet, is_ready ? ready_value : "0");
}

void fleet_view::publish_copy(object_kind kind, store_position position)
{
    membership_.publish(copy_key(kind), summary_scope::fleet, to_string(position));
}

void fleet_view::publish_load(const share_load& load)
{
    loads_.update(load.target, load.in_flight, loop_->now(), load.slowdown);
}

void fleet_view::publish_failure(target_key target)
{
    failures_.update(target, key_of(self_), loop_->now());
}

void fleet_view::publish_limit(target_key target, std::optional<request_rate> limit)
{
    limits_.record(target, limit, loop_->now());
}

void fleet_view::leave()
{
    apply(membership_.leave(loop_->now()));
}

std::uint32_t fleet_view::live_count() const
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(membership_.live().size(), 1));
}

router_fleet fleet_view::live_fleet() const
{
    router_fleet fleet{key_of(self_), {}};
    for (const auto& router : membership_.live()) {
        if (router.id != self_) {
            fleet.others.push_back(key_of(router.id));
        }
    }
    return fleet;
}

std::vector<endpoint> fleet_view::ready_peers() const
{
    std::vector<endpoint> addresses;
    for (const auto& router : membership_.live()) {
        const auto ready = ready_.find(router.id);
        if (router.id != self_ && router.status == member_status::alive && ready != ready_.end() &&
            ready->second) {
            addresses.push_back(router.http);
        }
    }
    return addresses;
}

std::vector<endpoint> fleet_view::live_peers() const
{
    std::vector<endpoint> addresses;
    for (const auto& router : membership_.live()) {
        if (router.id != self_) {
            addresses.push_back(router.link);
        }
    }
    return addresses;
}

bool fleet_view::is_joining() const
{
    return (is_looking_up_ || !seeds_.empty()) && !membership_.is_synced() &&
           loop_->now() - started_at_ < max_join_time;
}

copy_sources fleet_view::sources()
{
    const auto live = membership_.live();
    auto plan = plan_reading(live, self_);
    const auto addresses_of = [this](std::vector<member>& routers) {
        std::shuffle(routers.begin(), routers.end(), random_);
        std::stable_partition(routers.begin(), routers.end(),
                              [this](const member& router) { return router.domain != domain_; });
        std::vector<endpoint> addresses;
        addresses.reserve(routers.size());
        for (const auto& router : routers) {
            addresses.push_back(router.link);
        }
        return addresses;
    };
    return {plan.role, addresses_of(plan.sources), addresses_of(plan.fallbacks),
            live.size() <= max_routers_all_reading};
}

void fleet_view::receive(const endpoint& from, std::string_view bytes)
{
    auto packet = decode_gossip(bytes);
    if (!has_value(packet)) {
        callbacks_.on_log(log_event{"gossip_unreadable"}
                              .add("from", from.address)
                              .add("reason", to_string(findings_of(packet))));
        return;
    }
    receive_loads(value_of(packet).loads);
    receive_failures(value_of(packet).failures);
    receive_limits(value_of(packet).limits);
    if (value_of(packet).crashes != crash_news{}) {
        callbacks_.on_crash_news(value_of(packet).crashes);
    }
    if (!value_of(packet).usage.uses.empty()) {
        callbacks_.on_usage(std::move(std::get<gossip_packet>(packet).usage));
    }
    if (value_of(packet).kind == gossip_kind::loads) {
        return;
    }
    apply(membership_.handle(value_of(packet), from, loop_->now()));
}

void fleet_view::receive_loads(const std::vector<load_report>& loads)
{
    std::vector<received_load> newer;
    for (const auto& load : loads) {
        const auto reported_at = loop_->now() - load.age;
        if (loads_.update(load.target, load.in_flight, reported_at, load.slowdown)) {
            newer.push_back({load.target, load.in_flight, reported_at, load.slowdown});
        }
    }
    if (!newer.empty()) {
        callbacks_.on_loads(std::move(newer));
    }
}

void fleet_view::receive_failures(const std::vector<failure_report>& failures)
{
    std::vector<received_failure> newer;
    for (const auto& it : failures) {
        const auto failed_at = loop_->now() - it.age;
        if (failures_.update(it.target, it.reporter, failed_at)) {
            newer.push_back({it.target, it.reporter, failed_at});
        }
    }
    if (!newer.empty()) {
        callbacks_.on_failures(std::move(newer));
    }
}

void fleet_view::receive_limits(const std::vector<limit_report>& limits)
{
    std::vector<received_limit> newer;
    for (const auto& it : limits) {
        const auto stated_at = loop_->now() - it.age;
        if (limits_.update(it.target, it.limit, stated_at)) {
            newer.push_back({it.target, it.limit, stated_at});
        }
    }
    if (!newer.empty()) {
        callbacks_.on_limits(std::move(newer));
    }
}

/// Adds what is known of targets to a packet, as far as it fits.
void fleet_view::add_target_reports(gossip_packet& packet)
{
    auto size = encode(packet).size();
    if (has_room_for_crash_news(size)) {
        packet.crashes = callbacks_.crash_news_to_send();
        size = packet.crashes == crash_news{} ? size : encode(packet).size();
    }
    packet.limits = limits_.next_reports(limit_report_capacity(size), loop_->now());
    size = packet.limits.empty() ? size : encode(packet).size();
    packet.failures = failures_.newest(failure_report_capacity(size), loop_->now());
    size = packet.failures.empty() ? size : encode(packet).size();
    if (size + usage_report_size <= max_gossip_size) {
        packet.usage = callbacks_.usage_to_send();
        size = packet.usage.uses.empty() ? size : encode(packet).size();
    }
    packet.loads = loads_.newest(load_report_capacity(size, loads_.has_slowdowns()), loop_->now());
}

void fleet_view::send_load_packets()
{
    load_packet_timer_.start(load_packet_interval);
    const auto live = membership_.live();
    if (live.size() <= max_routers_without_load_packets) {
        return;
    }
    gossip_packet packet;
    packet.kind = gossip_kind::loads;
    packet.from = self_;
    packet.from_run = run_;
    packet.number = ++last_load_packet_;
    add_target_reports(packet);
    if (packet.loads.empty() && packet.failures.empty() && packet.limits.empty() &&
        packet.usage.uses.empty() && packet.crashes == crash_news{}) {
        return;
    }
    const auto bytes = encode(packet);
    for (std::size_t n = 0; n < load_packet_receivers; ++n) {
        const auto& to = live[random_.below(live.size())];
        if (to.id != self_) {
            bytes_sent_ += bytes.size();
            socket_.send(to.gossip, bytes);
        }
    }
}

void fleet_view::tick()
{
    apply(membership_.tick(loop_->now()));
    schedule();
}

void fleet_view::schedule()
{
    timer_.start_for(membership_.next_timer(), min_timer_delay);
}

void fleet_view::apply(membership_effects&& effects)
{
    for (auto& effect : effects) {
        std::visit([this](auto& e) { execute(e); }, effect);
    }
}

void fleet_view::execute(send_packet& e)
{
    add_target_reports(e.packet);
    const auto bytes = encode(e.packet);
    bytes_sent_ += bytes.size();
    socket_.send(e.to, bytes);
}

void fleet_view::execute(member_changed& e)
{
    callbacks_.on_log(log_event{"router_changed"}
                          .add("router", e.member.id)
                          .add("status", to_string(e.member.status))
                          .add("run", e.member.run.value())
                          .add("former", e.former ? to_string(*e.former) : "unknown"));
    callbacks_.on_members_changed();
}

void fleet_view::execute(summary_changed& e)
{
    if (e.key == ready_key && e.value.empty()) {
        ready_.erase(e.router);
        return;
    }
    if (e.key == ready_key) {
        ready_[e.router] = e.value == ready_value;
        return;
    }
    const auto kind = kind_of(e.key);
    if (!kind) {
        return;
    }
    const auto* holder = membership_.find(e.router);
    if (holder != nullptr) {
        callbacks_.on_newer_copy(*kind, *holder, parse_store_position(e.value));
    }
}

void fleet_view::execute(config_seen&) {} // Copies are compared by their summaries instead.

void fleet_view::execute(run_superseded& e)
{
    callbacks_.on_log(log_event{"run_superseded"}.add("by", e.by.value()));
}

void fleet_view::execute(pause_noticed& e)
{
    callbacks_.on_pause(e.late);
}

} // namespace endivelatch
