#include "router_process.hpp"

#include "endivelatch/base/digest.hpp"
#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/wire/codec.hpp"
#include "endivelatch/wire/frame.hpp"
#include "secure_random.hpp"
#include "setting_reader.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

namespace endivelatch {

namespace {

constexpr std::size_t drain_threshold_bytes = 65'536;
constexpr std::size_t random_text_size = 24;
constexpr duration vm_list_period = std::chrono::seconds{5}; ///< A multiple in large fleets.
constexpr std::size_t routers_per_list_period = 85;
constexpr duration min_timer_delay = std::chrono::milliseconds{1};
constexpr int max_exit_checks = 100; ///< Bounds the delay by a caller that reads nothing.
constexpr duration exit_check_period = std::chrono::milliseconds{300};

incarnation new_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    return incarnation{static_cast<std::uint64_t>(ms)};
}

http_headers to_headers(header_list&& list)
{
    http_headers headers;
    for (auto& [name, value] : list) {
        headers.push_back({std::move(name), std::move(value)});
    }
    return headers;
}

header_map to_header_map(http_headers&& headers)
{
    header_map map;
    for (auto& header : headers) {
        map.emplace(std::move(header.name), std::move(header.value));
    }
    return map;
}

http_server_settings server_settings(const router_settings& settings)
{
    http_server_settings server;
    server.listen = {settings.self.http};
    server.drain_threshold = drain_threshold_bytes;
    return server;
}

peer_transport_settings transport_settings(const router_settings& settings)
{
    peer_transport_settings links;
    links.listen = settings.self.link;
    links.seed = settings.seed;
    return links;
}

platform_client_settings platform_settings(const router_flags& flags)
{
    platform_client_settings platform;
    platform.base_urls = flags.platform_urls;
    platform.read_rate = flags.platform_read_rate;
    platform.write_rate = flags.platform_write_rate;
    platform.seed = flags.router.seed;
    return platform;
}

exchange_id to_exchange_id(exchange_number n)
{
    return exchange_id{n.value()};
}

} // namespace

router_process::router_process(const router_flags& flags, std::shared_ptr<spdlog::logger> log)
    : settings_{flags.router}, incarnation_{new_incarnation()}, log_{std::move(log)},
      router_{settings_, incarnation_}, packet_authenticator_{settings_.fleet_key},
      server_{loop_,
              server_settings(settings_),
              {[this](http_request&& r) { on_request(std::move(r)); },
               [this](exchange_id id) { dispatch_event(http_closed{exchange_number{id.value()}}); },
               [this](exchange_id id, std::size_t n) {
                   dispatch_event(http_drained{exchange_number{id.value()}, n});
               }}},
      target_client_{loop_, [this](router_event&& event) { dispatch_event(std::move(event)); }},
      peer_transport_{
          loop_,
          transport_settings(settings_),
          [this] { return make_codec(); },
          {[this](const link_peer& peer, std::string_view bytes) { on_frame(peer, bytes); },
           {},
           [this](const endpoint& to, const std::string& reason, std::vector<lost_frame>&&) {
               on_frames_lost(to, reason);
           }}},
      gossip_socket_{loop_,
                     [this](const endpoint& from, std::string_view b) { on_datagram(from, b); }},
      platform_client_{
          loop_,
          platform_settings(flags),
          {[this](platform_answer&& a) { dispatch_event(platform_answered{std::move(a)}); },
           [this](result<std::vector<platform_vm>>&& vms) { on_vms(vms); }}},
      wake_timer_{loop_, [this] { dispatch_event(timer_expired{}); }},
      vm_list_timer_{loop_, [this] { list_vms(); }}, exit_timer_{loop_,
                                                                 [this] { exit_when_idle(); }},
      sigterm_watcher_{loop_, SIGTERM, [this] { dispatch_event(stop_requested{}); }},
      sigint_watcher_{loop_, SIGINT, [this] { dispatch_event(stop_requested{}); }}
{
    settings_.self.run = incarnation_;
}

findings router_process::start()
{
    auto errors = server_.start();
    for (const auto& component_errors :
         {peer_transport_.start(), gossip_socket_.start(settings_.self.gossip)}) {
        errors.insert(errors.end(), component_errors.begin(), component_errors.end());
    }
    return errors;
}

void router_process::run()
{
    execute_effects(router_.start(now()));
    list_vms();
    loop_.run();
}

moment router_process::now() const
{
    const auto wall = std::chrono::system_clock::now();
    return {loop_.now(), std::chrono::time_point_cast<duration>(wall)};
}

sealed_link_codec router_process::make_codec() const
{
    return {
        settings_.fleet_key, {settings_.self.id, incarnation_}, secure_random_bytes(nonce_size)};
}

void router_process::dispatch_event(router_event&& event)
{
    events_.push_back(std::move(event));
    if (!is_processing_) {
        process_events();
    }
}

void router_process::process_events()
{
    is_processing_ = true;
    while (!events_.empty()) {
        const auto event = std::move(events_.front());
        events_.pop_front();
        execute_effects(router_.reduce(event, now()));
    }
    is_processing_ = false;
}

void router_process::execute_effects(router_effects&& effects)
{
    for (auto& effect : effects) {
        std::visit([this](auto& alternative) { execute(alternative); }, effect);
    }
}

void router_process::execute(http_respond& effect)
{
    server_.respond(to_exchange_id(effect.exchange), effect.status,
                    to_headers(std::move(effect.headers)), std::move(effect.body));
}

void router_process::execute(http_begin_stream& effect)
{
    server_.begin_stream(to_exchange_id(effect.exchange), effect.status,
                         to_headers(std::move(effect.headers)));
}

void router_process::execute(http_write& effect)
{
    const auto id = to_exchange_id(effect.exchange);
    server_.write(id, std::move(effect.data));
    const auto buffered = server_.buffered(id);
    if (buffered < drain_threshold_bytes) {
        events_.emplace_back(http_drained{effect.exchange, buffered});
        if (!is_processing_) {
            loop_.post([this] { process_events(); });
        }
    }
}

void router_process::execute(http_finish& effect)
{
    server_.finish(to_exchange_id(effect.exchange));
}

void router_process::execute(http_abort& effect)
{
    server_.abort(to_exchange_id(effect.exchange));
}

void router_process::execute(send_peer& effect)
{
    peers_by_link_[effect.link] = effect.to;
    if (!peer_transport_.send(effect.link, encode(effect.envelope))) {
        events_.emplace_back(peer_link_lost{effect.to});
    }
}

void router_process::execute(send_gossip& effect)
{
    const auto sealed = sign_packet(packet_authenticator_, encode(effect.packet));
    router_.metrics().add("gossip_packets_sent");
    router_.metrics().add("gossip_bytes_sent", sealed.size());
    gossip_socket_.send(effect.to, sealed);
}

void router_process::execute(call_target& effect)
{
    target_client_.start(effect);
}

void router_process::execute(cancel_target_call& effect)
{
    target_client_.cancel(effect.key);
}

void router_process::execute(pause_target_call& effect)
{
    target_client_.pause(effect.key, effect.paused);
}

void router_process::execute(probe_target& effect)
{
    target_client_.probe(effect);
}

void router_process::execute(call_platform& effect)
{
    platform_client_.submit(std::move(effect.call));
}

void router_process::execute(write_log& effect)
{
    log_->info(to_line(effect.entry));
}

void router_process::execute(set_timer& effect)
{
    wake_timer_.start_for(effect.at, min_timer_delay);
}

void router_process::execute(exit_process& /*effect*/)
{
    if (!exit_timer_.is_active()) {
        exit_timer_.start(exit_check_period);
    }
}

void router_process::exit_when_idle()
{
    ++exit_checks_;
    if (server_.active() == 0 || exit_checks_ >= max_exit_checks) {
        loop_.stop();
        return;
    }
    exit_timer_.start(exit_check_period);
}

void router_process::on_request(http_request&& request)
{
    http_received event;
    event.exchange = exchange_number{request.id.value()};
    event.method = std::move(request.method);
    event.path = std::move(request.path);
    event.query = to_header_map(std::move(request.query));
    event.headers = to_header_map(std::move(request.headers));
    event.body = std::make_shared<const std::string>(std::move(request.body));
    event.random_text = to_hex(secure_random_bytes(random_text_size));
    dispatch_event(std::move(event));
}

void router_process::on_frame(const link_peer& peer, std::string_view bytes)
{
    auto decoded = decode_message(bytes);
    if (!has_value(decoded)) {
        router_.metrics().add("messages_dropped", 1, "reason=\"malformed\"");
        return;
    }
    auto& envelope = std::get<peer_envelope>(decoded);
    const bool is_from_link_peer =
        envelope.from == peer.id && envelope.from_incarnation == peer.run;
    if (!is_from_link_peer) {
        router_.metrics().add("messages_dropped", 1, "reason=\"wrong_sender\"");
        return;
    }
    dispatch_event(peer_received{std::move(envelope)});
}

void router_process::on_datagram(const endpoint& from, std::string_view bytes)
{
    const auto content = verify_packet(packet_authenticator_, bytes);
    if (!has_value(content)) {
        router_.metrics().add("gossip_packets_dropped");
        return;
    }
    auto packet = decode_gossip(value_of(content));
    if (!has_value(packet)) {
        router_.metrics().add("gossip_packets_dropped");
        return;
    }
    router_.metrics().add("gossip_bytes_received", bytes.size());
    dispatch_event(gossip_received{from, std::get<gossip_packet>(std::move(packet))});
}

void router_process::on_frames_lost(const endpoint& to, const std::string& reason)
{
    const auto it = peers_by_link_.find(to);
    if (it == peers_by_link_.end()) {
        return;
    }
    log_->debug("lost frames to {}: {}", it->second.str(), reason);
    dispatch_event(peer_link_lost{it->second});
}

void router_process::list_vms()
{
    const auto period_factor = router_.known_routers() / routers_per_list_period;
    platform_client_.list_vms();
    vm_list_timer_.start(vm_list_period *
                         std::max<std::int64_t>(1, static_cast<std::int64_t>(period_factor)));
}

void router_process::on_vms(const result<std::vector<platform_vm>>& vms)
{
    auto seeds = settings_.seeds;
    if (has_value(vms)) {
        for (const auto& vm : value_of(vms)) {
            const auto address = parse_endpoint(vm.address);
            if (address && !vm.is_leaving) {
                seeds.push_back(*address);
            }
        }
    }
    dispatch_event(peers_listed{std::move(seeds)});
}

} // namespace endivelatch
