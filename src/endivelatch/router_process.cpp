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
constexpr std::size_t random_text_bytes = 24;
constexpr duration vms_period = std::chrono::seconds{5}; ///< Longer in a larger fleet.
constexpr std::size_t routers_per_period = 85;
constexpr duration shortest_timer = std::chrono::milliseconds{1};
constexpr int most_exit_checks = 100; ///< A caller that reads nothing holds the exit no longer.
constexpr duration exit_delay = std::chrono::milliseconds{300};

incarnation new_run()
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

header_map to_map(http_headers&& headers)
{
    header_map all;
    for (auto& it : headers) {
        all.emplace(std::move(it.name), std::move(it.value));
    }
    return all;
}

http_server_settings server_settings(const router_settings& settings)
{
    http_server_settings server;
    server.listen = {settings.self.http};
    server.drain_threshold = drain_threshold_bytes;
    return server;
}

peer_transport_settings link_settings(const router_settings& settings)
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
    : settings_{flags.router}, run_{new_run()}, log_{std::move(log)}, router_{settings_, run_},
      packet_key_{settings_.fleet_key},
      server_{loop_,
              server_settings(settings_),
              {[this](http_request&& r) { on_request(std::move(r)); },
               [this](exchange_id id) { deliver(http_closed{exchange_number{id.value()}}); },
               [this](exchange_id id, std::size_t n) {
                   deliver(http_drained{exchange_number{id.value()}, n});
               }}},
      targets_{loop_, [this](router_event&& e) { deliver(std::move(e)); }},
      links_{loop_,
             link_settings(settings_),
             [this] { return make_codec(); },
             {[this](const link_peer& peer, std::string_view bytes) { on_frame(peer, bytes); },
              {},
              [this](const endpoint& to, const std::string& reason, std::vector<lost_frame>&&) {
                  on_frames_lost(to, reason);
              }}},
      gossip_{loop_, [this](const endpoint& from, std::string_view b) { on_datagram(from, b); }},
      platform_{loop_,
                platform_settings(flags),
                {[this](platform_answer&& a) { deliver(platform_answered{std::move(a)}); },
                 [this](result<std::vector<platform_vm>>&& vms) { on_vms(vms); }}},
      wake_{loop_, [this] { deliver(timer_expired{}); }}, vms_timer_{loop_, [this] { list_vms(); }},
      exit_timer_{loop_, [this] { exit_when_idle(); }}, on_terminate_{loop_, SIGTERM,
                                                                      [this] {
                                                                          deliver(stop_requested{});
                                                                      }},
      on_interrupt_{loop_, SIGINT, [this] { deliver(stop_requested{}); }}
{
    settings_.self.run = run_;
}

findings router_process::start()
{
    auto faults = server_.start();
    for (const auto& it : {links_.start(), gossip_.start(settings_.self.gossip)}) {
        faults.insert(faults.end(), it.begin(), it.end());
    }
    return faults;
}

void router_process::run()
{
    carry_out(router_.start(now()));
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
    return {settings_.fleet_key, {settings_.self.id, run_}, secure_random_bytes(nonce_size)};
}

void router_process::deliver(router_event&& e)
{
    events_.push_back(std::move(e));
    if (!handling_) {
        handle_events();
    }
}

void router_process::handle_events()
{
    handling_ = true;
    while (!events_.empty()) {
        const auto e = std::move(events_.front());
        events_.pop_front();
        carry_out(router_.reduce(e, now()));
    }
    handling_ = false;
}

void router_process::carry_out(router_effects&& all)
{
    for (auto& it : all) {
        std::visit([this](auto& e) { act(e); }, it);
    }
}

void router_process::act(http_respond& e)
{
    server_.respond(to_exchange_id(e.exchange), e.status, to_headers(std::move(e.headers)),
                    std::move(e.body));
}

void router_process::act(http_begin_stream& e)
{
    server_.begin_stream(to_exchange_id(e.exchange), e.status, to_headers(std::move(e.headers)));
}

void router_process::act(http_write& e)
{
    const auto id = to_exchange_id(e.exchange);
    server_.write(id, std::move(e.data));
    const auto buffered = server_.buffered(id);
    if (buffered < drain_threshold_bytes) {
        events_.emplace_back(http_drained{e.exchange, buffered});
        if (!handling_) {
            loop_.post([this] { handle_events(); });
        }
    }
}

void router_process::act(http_finish& e)
{
    server_.finish(to_exchange_id(e.exchange));
}

void router_process::act(http_abort& e)
{
    server_.abort(to_exchange_id(e.exchange));
}

void router_process::act(send_peer& e)
{
    peers_by_link_[e.link] = e.to;
    if (!links_.send(e.link, encode(e.envelope))) {
        events_.emplace_back(peer_link_lost{e.to});
    }
}

void router_process::act(send_gossip& e)
{
    const auto sealed = sign_packet(packet_key_, encode(e.packet));
    router_.metrics().add("gossip_packets_sent");
    router_.metrics().add("gossip_bytes_sent", sealed.size());
    gossip_.send(e.to, sealed);
}

void router_process::act(call_target& e)
{
    targets_.start(e);
}

void router_process::act(cancel_target_call& e)
{
    targets_.cancel(e.key);
}

void router_process::act(pause_target_call& e)
{
    targets_.pause(e.key, e.paused);
}

void router_process::act(probe_target& e)
{
    targets_.probe(e);
}

void router_process::act(call_platform& e)
{
    platform_.submit(std::move(e.call));
}

void router_process::act(write_log& e)
{
    log_->info(to_line(e.entry));
}

void router_process::act(set_timer& e)
{
    const auto left = e.at - loop_.now();
    wake_.start(std::max(left, shortest_timer));
}

void router_process::act(exit_process& /*e*/)
{
    if (!exit_timer_.is_active()) {
        exit_timer_.start(exit_delay);
    }
}

void router_process::exit_when_idle()
{
    ++exit_checks_;
    if (server_.active() == 0 || exit_checks_ >= most_exit_checks) {
        loop_.stop();
        return;
    }
    exit_timer_.start(exit_delay);
}

void router_process::on_request(http_request&& request)
{
    http_received e;
    e.exchange = exchange_number{request.id.value()};
    e.method = std::move(request.method);
    e.path = std::move(request.path);
    e.query = to_map(std::move(request.query));
    e.headers = to_map(std::move(request.headers));
    e.body = std::make_shared<const std::string>(std::move(request.body));
    e.random_text = to_hex(secure_random_bytes(random_text_bytes));
    deliver(std::move(e));
}

void router_process::on_frame(const link_peer& peer, std::string_view bytes)
{
    auto decoded = decode_message(bytes);
    if (!has_value(decoded)) {
        router_.metrics().add("messages_dropped", 1, "reason=\"malformed\"");
        return;
    }
    auto& envelope = std::get<peer_envelope>(decoded);
    const bool is_own = envelope.from == peer.id && envelope.from_incarnation == peer.run;
    if (!is_own) {
        router_.metrics().add("messages_dropped", 1, "reason=\"wrong_sender\"");
        return;
    }
    deliver(peer_received{std::move(envelope)});
}

void router_process::on_datagram(const endpoint& from, std::string_view bytes)
{
    const auto content = verify_packet(packet_key_, bytes);
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
    deliver(gossip_received{from, std::get<gossip_packet>(std::move(packet))});
}

void router_process::on_frames_lost(const endpoint& to, const std::string& reason)
{
    const auto it = peers_by_link_.find(to);
    if (it == peers_by_link_.end()) {
        return;
    }
    log_->debug("frames to {} lost: {}", it->second.str(), reason);
    deliver(peer_link_lost{it->second});
}

void router_process::list_vms()
{
    const auto share = router_.known_routers() / routers_per_period;
    platform_.list_vms();
    vms_timer_.start(vms_period * std::max<std::int64_t>(1, static_cast<std::int64_t>(share)));
}

void router_process::on_vms(const result<std::vector<platform_vm>>& vms)
{
    auto seeds = settings_.seeds;
    if (has_value(vms)) {
        for (const auto& it : value_of(vms)) {
            const auto address = parse_endpoint(it.address);
            if (address && !it.is_leaving) {
                seeds.push_back(*address);
            }
        }
    }
    deliver(peers_listed{std::move(seeds)});
}

} // namespace endivelatch
