#include "configuration/configuration_simulation.hpp"

#include "endivelatch/configuration/object_names.hpp"

#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

constexpr std::chrono::seconds gossip_period{1};
constexpr std::size_t message_overhead = 40;
constexpr std::int32_t http_ok = 200;
constexpr std::int32_t http_conflict = 409;
constexpr std::int32_t http_unavailable = 503;

duration microseconds(std::uint64_t n)
{
    return duration{static_cast<std::int64_t>(n)};
}

duration milliseconds(std::uint64_t n)
{
    return microseconds(n * 1000);
}

router_id router_name(std::size_t n)
{
    return router_id{std::to_string(n)};
}

std::size_t size_of(const config_update& update)
{
    auto out = message_overhead;
    for (const auto& object : update.objects) {
        out += object.name.size() + object.document.size() + 12;
    }
    return out;
}

std::size_t size_of(const config_query& query)
{
    auto out = message_overhead;
    for (const auto& [name, version] : query.have) {
        out += name.size() + 12;
    }
    return out;
}

} // namespace

configuration_simulation::configuration_simulation(
    std::uint64_t seed, const configuration_simulation_settings& settings)
    : random_{seed}, settings_{settings}, platform_{seed ^ 1U,
                                                    [this](time_point when, auto callback) {
                                                        events_.at(when, std::move(callback));
                                                    }},
      routers_(settings.routers)
{
    platform_.faults.ignore_versions = settings.ignore_versions;
    platform_.keeps_history = true;
    for (const auto& [name, document] : settings.stored) {
        platform_.put(name, document, events_.now());
    }
    for (std::size_t n = 0; n < routers_.size(); ++n) {
        start(n);
    }
    run_for(std::chrono::seconds{10});
}

void configuration_simulation::start(std::size_t n)
{
    auto& router = routers_[n];
    ++router.run_number;
    router.calls = std::make_unique<platform_call_id_source>();
    router.store = std::make_unique<configuration_store>(router_name(n), random_(), settings_.store,
                                                         *router.calls);
    router.admin = std::make_unique<administration>(
        "r" + std::to_string(n) + "." + std::to_string(router.run_number), settings_.administration,
        *router.store, *router.calls);
    router.paused_until = {};
    router.next_tick = time_point::max();
    std::vector<router_id> peers;
    for (std::size_t p = 0; p < routers_.size(); ++p) {
        peers.push_back(router_name(p));
    }
    router.store->set_peers(std::move(peers));
    const bool watches = n < settings_.watchers;
    deliver(n, router.run_number, events_.now(),
            [watches](simulated_router& receiver, time_point now) {
                auto out = receiver.store->boot(now);
                auto more = receiver.store->set_watching(watches, now);
                out.insert(out.end(), more.begin(), more.end());
                return out;
            });
    schedule_gossip(n, router.run_number);
}

void configuration_simulation::deliver(std::size_t n, std::uint64_t run_number, time_point when,
                                       const handler& callback)
{
    events_.at(when, [=, this](time_point now) {
        auto& router = routers_[n];
        if (router.run_number != run_number) {
            return;
        }
        if (now < router.paused_until) {
            deliver(n, run_number, router.paused_until, callback);
            return;
        }
        perform(n, callback(router, now), now);
        check_for_reversions(n);
        schedule_tick(n);
    });
}

void configuration_simulation::schedule_tick(std::size_t n)
{
    auto& router = routers_[n];
    const auto due = std::min(router.store->next_timer(), router.admin->next_timer());
    if (due == time_point::max() || due >= router.next_tick) {
        return;
    }
    router.next_tick = std::max(due, events_.now() + milliseconds(1));
    deliver(n, router.run_number, router.next_tick, [](simulated_router& receiver, time_point now) {
        receiver.next_tick = time_point::max();
        auto out = receiver.store->tick(now);
        auto more = receiver.admin->tick(now);
        out.insert(out.end(), more.begin(), more.end());
        return out;
    });
}

void configuration_simulation::schedule_gossip(std::size_t n, std::uint64_t run_number)
{
    const auto phase = microseconds(random_.below(1'000'000));
    events_.at(events_.now() + gossip_period / 2 + phase, [=, this](time_point now) {
        auto& router = routers_[n];
        if (router.run_number != run_number) {
            return;
        }
        if (now >= router.paused_until) {
            const auto digest = router.store->digest();
            const auto to = router_name(random_.below(routers_.size()));
            const auto from = router_name(n);
            send(n, to, 0, [=](simulated_router& receiver, time_point then) {
                return receiver.store->on_peer_digest(from, digest, then);
            });
        }
        schedule_gossip(n, run_number);
    });
}

void configuration_simulation::send(std::size_t from, const router_id& to, std::size_t bytes,
                                    const handler& callback)
{
    const auto n = std::stoul(to.str());
    messages_ += bytes > 0 ? 1 : 0;
    message_bytes_ += bytes;
    if (n == from || routers_[n].is_disconnected || routers_[from].is_disconnected) {
        return;
    }
    auto& last = last_deliveries_[{from, n}];
    last = std::max(last, events_.now() + microseconds(500 + random_.below(2000)));
    deliver(n, routers_[n].run_number, last, callback);
}

void configuration_simulation::perform(std::size_t n, const configuration_effects& effects,
                                       time_point now)
{
    const auto from = router_name(n);
    for (const auto& effect : effects) {
        std::visit(
            overloaded{
                [&](const platform_call& call) {
                    const auto run_number = routers_[n].run_number;
                    platform_.call(call, now, [=, this](time_point then, const auto& answer) {
                        deliver(n, run_number, then,
                                [answer](simulated_router& receiver, time_point when) {
                                    auto out = receiver.store->on_platform_answered(answer, when);
                                    auto more = receiver.admin->on_platform_answered(answer, when);
                                    out.insert(out.end(), more.begin(), more.end());
                                    return out;
                                });
                    });
                },
                [&](const send_config& message) {
                    send(n, message.to, size_of(message.update),
                         [from, update = message.update](simulated_router& receiver,
                                                         time_point then) {
                             return receiver.store->on_config_update(from, update, then);
                         });
                },
                [&](const query_config& message) {
                    send(
                        n, message.to, size_of(message.query),
                        [from, query = message.query](simulated_router& receiver, time_point then) {
                            return receiver.store->on_config_query(from, query, then);
                        });
                },
                [&](const object_confirmed& confirmation) {
                    perform(n, routers_[n].admin->on_object_confirmed(confirmation, now), now);
                },
                [&](const admin_response& response) { on_response(response); },
                [](const configuration_changed&) {}, [](const configuration_rejected&) {}},
            effect);
    }
}

void configuration_simulation::check_for_reversions(std::size_t n)
{
    auto& router = routers_[n];
    if (!router.store->ready()) {
        return;
    }
    for (auto& [name, highest] : router.highest) {
        const auto* const object = router.store->find_object(name);
        const auto version = object == nullptr ? object_version{} : object->version;
        if (version < highest) {
            const auto accepted = accepted_versions_.find(name);
            const bool counts = accepted != accepted_versions_.end() && version < accepted->second;
            ++(counts ? report_.reversions : report_.withdrawn);
            highest = version;
        }
    }
    for (const auto& [name, version] : router.store->versions()) {
        auto& highest = router.highest[name];
        highest = std::max(highest, version);
    }
}

void configuration_simulation::request(std::size_t n, const std::string& method,
                                       const std::string& path, const std::string& body,
                                       std::optional<std::uint64_t> if_version)
{
    admin_request request;
    request.exchange = admin_exchange{++last_exchange_};
    request.operator_name = "operator" + std::to_string(n);
    request.method = method;
    request.path = path;
    request.body = body;
    request.if_version = if_version;
    request.random_text = "0123456789abcdef0123456789abcdef";
    deliver(n, routers_[n].run_number, events_.now(),
            [request](simulated_router& receiver, time_point now) {
                return receiver.admin->request(request, wall_time{now.time_since_epoch()}, now);
            });
}

void configuration_simulation::change_target(std::size_t n, const std::string& id,
                                             std::optional<std::uint64_t> if_version)
{
    const auto value = std::to_string(1000 + last_exchange_);
    changes_[last_exchange_ + 1] = {id, value, if_version};
    ++report_.changes;
    request(n, "PUT", "/admin/v1/targets/" + id,
            R"({"pool": "p", "domain": "d", "region": "r", "kind": "engine",
                "url": "http://127.0.0.1:9001", "max_in_flight": )" +
                value + "}",
            if_version);
}

bool configuration_simulation::was_stored(const std::string& id, const std::string& value) const
{
    for (const auto& version : platform_.history) {
        if (version.name == config_object_name(config_kind::targets, id) &&
            version.document.find("\"max_in_flight\":" + value + ",") != std::string::npos) {
            return true;
        }
    }
    return false;
}

void configuration_simulation::on_response(const admin_response& response)
{
    responses_.push_back(response);
    const auto it = changes_.find(response.exchange.value());
    if (it == changes_.end()) {
        return;
    }
    const auto& change = it->second;
    if (response.status == http_ok) {
        ++report_.accepted;
        const auto body = nlohmann::json::parse(response.json);
        auto& highest = accepted_versions_[body.at("object").get<std::string>()];
        highest = std::max(highest, object_version{body.at("object_version")});
        report_.false_accepts += was_stored(change.id, change.value) ? 0 : 1;
        if (change.if_version &&
            !replaced_revisions_.insert({change.id, *change.if_version}).second) {
            ++report_.lost_updates;
        }
        return;
    }
    if (response.status == http_conflict) {
        ++report_.conflicts;
        rejected_changes_.insert(it->first);
        return;
    }
    if (response.status == http_unavailable) {
        ++report_.refused;
        rejected_changes_.insert(it->first);
        return;
    }
    ++report_.undecided;
}

void configuration_simulation::restart(std::size_t n)
{
    start(n);
}

void configuration_simulation::pause(std::size_t n, duration length)
{
    routers_[n].paused_until = events_.now() + length;
}

void configuration_simulation::set_disconnected(std::size_t n, bool disconnected)
{
    routers_[n].is_disconnected = disconnected;
}

std::size_t configuration_simulation::count_holders(const std::string& name,
                                                    object_version version) const
{
    std::size_t out = 0;
    for (const auto& router : routers_) {
        const auto* const object = router.store->find_object(name);
        out += object != nullptr && object->version >= version ? 1 : 0;
    }
    return out;
}

configuration_report configuration_simulation::finish(duration bound)
{
    const bool down = platform_.faults.down;
    platform_.faults = {};
    platform_.faults.down = down;
    for (auto& router : routers_) {
        router.is_disconnected = false;
        router.paused_until = std::min(router.paused_until, events_.now());
    }
    const auto accepted = accepted_versions_;
    run_for(bound);
    for (const auto& router : routers_) {
        for (const auto& [name, version] : accepted) {
            const auto* const object = router.store->find_object(name);
            const bool holds = object != nullptr && object->version >= version;
            report_.missing += router.store->ready() && !holds ? 1 : 0;
        }
    }
    for (const auto exchange : rejected_changes_) {
        const auto& change = changes_.at(exchange);
        report_.false_refusals += was_stored(change.id, change.value) ? 1 : 0;
    }
    return report_;
}

configuration_report run_configuration_schedule(std::uint64_t seed,
                                                const configuration_simulation_settings& settings,
                                                std::size_t steps)
{
    constexpr std::uint64_t action_count = 14;
    constexpr std::uint64_t target_count = 4;
    random_source random{seed ^ 2U};
    configuration_simulation simulation{seed, settings};
    for (std::size_t n = 0; n < target_count; ++n) {
        simulation.change_target(0, "t" + std::to_string(n), 0);
        simulation.run_for(std::chrono::seconds{3});
    }
    for (std::size_t n = 0; n < steps; ++n) {
        const auto router = random.below(settings.routers);
        const auto id = "t" + std::to_string(random.below(target_count));
        const auto action = random.below(action_count);
        auto& faults = simulation.platform().faults;
        simulation.report().faults += action >= 7 ? 1 : 0;
        switch (action) {
        case 0:
        case 1:
        case 2:
            simulation.change_target(router, id);
            break;
        case 3:
        case 4: {
            const auto stored =
                simulation.store(router).find_object(config_object_name(config_kind::targets, id));
            const auto document = stored == nullptr ? "" : stored->document;
            const auto json = nlohmann::json::parse(document, nullptr, false);
            const auto revision =
                json.is_object() && json["entries"].contains(id)
                    ? json["entries"][id]["changed"]["revision"].get<std::uint64_t>()
                    : 0;
            simulation.change_target(router, id, revision);
            simulation.change_target((router + 1) % settings.routers, id, revision);
            break;
        }
        case 5:
        case 6:
            simulation.run_for(milliseconds(random.below(1500)));
            break;
        case 7:
            simulation.pause(router, milliseconds(random.below(6000)));
            break;
        case 8:
            simulation.restart(router);
            break;
        case 9:
            simulation.set_disconnected(router, random.below(2) == 0);
            break;
        case 10:
            faults.down = random.below(2) == 0;
            break;
        case 11:
        case 12:
            faults.lost_answers = 0.1 * static_cast<double>(random.below(6));
            faults.lost_requests = 0.1 * static_cast<double>(random.below(4));
            faults.unreported_failures = 0.25 * static_cast<double>(random.below(5));
            faults.stale_reads = 0.1 * static_cast<double>(random.below(4));
            faults.max_delay = milliseconds(1 + random.below(3000));
            break;
        default:
            faults.lost_answers = faults.lost_requests = faults.stale_reads = 0;
            faults.max_delay = milliseconds(5);
            break;
        }
        simulation.run_for(milliseconds(random.below(50)));
    }
    return simulation.finish(std::chrono::seconds{3});
}

} // namespace endivelatch
