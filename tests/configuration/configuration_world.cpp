#include "configuration/configuration_world.hpp"

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

router_id name_of(std::size_t n)
{
    return router_id{std::to_string(n)};
}

std::size_t size_of(const config_update& update)
{
    auto out = message_overhead;
    for (const auto& it : update.objects) {
        out += it.name.size() + it.document.size() + 12;
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

configuration_world::configuration_world(std::uint64_t seed,
                                         const configuration_world_settings& settings)
    : random_{seed}, settings_{settings}, platform_{seed ^ 1U,
                                                    [this](time_point when, auto what) {
                                                        events_.at(when, std::move(what));
                                                    }},
      nodes_(settings.routers)
{
    platform_.faults.ignore_versions = settings.ignore_versions;
    platform_.keeps_history = true;
    for (const auto& [name, document] : settings.stored) {
        platform_.put(name, document, events_.now());
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        start(n);
    }
    run_for(std::chrono::seconds{10});
}

void configuration_world::start(std::size_t n)
{
    auto& it = nodes_[n];
    ++it.run;
    it.calls = std::make_unique<platform_call_id_source>();
    it.store =
        std::make_unique<configuration_store>(name_of(n), random_(), settings_.store, *it.calls);
    it.admin =
        std::make_unique<administration>("r" + std::to_string(n) + "." + std::to_string(it.run),
                                         settings_.administration, *it.store, *it.calls);
    it.paused_until = {};
    it.next_tick = time_point::max();
    std::vector<router_id> peers;
    for (std::size_t p = 0; p < nodes_.size(); ++p) {
        peers.push_back(name_of(p));
    }
    it.store->set_peers(std::move(peers));
    const bool watches = n < settings_.watchers;
    deliver(n, it.run, events_.now(), [watches](node& at, time_point now) {
        auto out = at.store->boot(now);
        auto more = at.store->set_watching(watches, now);
        out.insert(out.end(), more.begin(), more.end());
        return out;
    });
    schedule_gossip(n, it.run);
}

void configuration_world::deliver(std::size_t n, std::uint64_t run, time_point when,
                                  const handler& what)
{
    events_.at(when, [=, this](time_point now) {
        auto& it = nodes_[n];
        if (it.run != run) {
            return;
        }
        if (now < it.paused_until) {
            deliver(n, run, it.paused_until, what);
            return;
        }
        carry_out(n, what(it, now), now);
        check_versions(n);
        schedule_tick(n);
    });
}

void configuration_world::schedule_tick(std::size_t n)
{
    auto& it = nodes_[n];
    const auto due = std::min(it.store->next_timer(), it.admin->next_timer());
    if (due == time_point::max() || due >= it.next_tick) {
        return;
    }
    it.next_tick = std::max(due, events_.now() + milliseconds(1));
    deliver(n, it.run, it.next_tick, [](node& at, time_point now) {
        at.next_tick = time_point::max();
        auto out = at.store->tick(now);
        auto more = at.admin->tick(now);
        out.insert(out.end(), more.begin(), more.end());
        return out;
    });
}

void configuration_world::schedule_gossip(std::size_t n, std::uint64_t run)
{
    const auto phase = microseconds(random_.below(1'000'000));
    events_.at(events_.now() + gossip_period / 2 + phase, [=, this](time_point now) {
        auto& it = nodes_[n];
        if (it.run != run) {
            return;
        }
        if (now >= it.paused_until) {
            const auto digest = it.store->digest();
            const auto to = name_of(random_.below(nodes_.size()));
            const auto from = name_of(n);
            send(n, to, 0, [=](node& at, time_point then) {
                return at.store->peer_digest(from, digest, then);
            });
        }
        schedule_gossip(n, run);
    });
}

void configuration_world::send(std::size_t from, const router_id& to, std::size_t bytes,
                               const handler& what)
{
    const auto n = std::stoul(to.str());
    messages_ += bytes > 0 ? 1 : 0;
    message_bytes_ += bytes;
    if (n == from || nodes_[n].is_cut || nodes_[from].is_cut) {
        return;
    }
    auto& last = links_[{from, n}];
    last = std::max(last, events_.now() + microseconds(500 + random_.below(2000)));
    deliver(n, nodes_[n].run, last, what);
}

void configuration_world::carry_out(std::size_t n, const configuration_effects& effects,
                                    time_point now)
{
    const auto from = name_of(n);
    for (const auto& effect : effects) {
        std::visit(
            overloaded{[&](const platform_call& call) {
                           const auto run = nodes_[n].run;
                           platform_.call(
                               call, now, [=, this](time_point then, const auto& answer) {
                                   deliver(n, run, then, [answer](node& at, time_point when) {
                                       auto out = at.store->answered(answer, when);
                                       auto more = at.admin->answered(answer, when);
                                       out.insert(out.end(), more.begin(), more.end());
                                       return out;
                                   });
                               });
                       },
                       [&](const send_config& it) {
                           send(n, it.to, size_of(it.update),
                                [from, update = it.update](node& at, time_point then) {
                                    return at.store->peer_updated(from, update, then);
                                });
                       },
                       [&](const ask_config& it) {
                           send(n, it.to, size_of(it.query),
                                [from, query = it.query](node& at, time_point then) {
                                    return at.store->peer_asked(from, query, then);
                                });
                       },
                       [&](const object_confirmed& it) {
                           carry_out(n, nodes_[n].admin->confirmed(it, now), now);
                       },
                       [&](const admin_answer& it) { take_answer(it); },
                       [](const configuration_changed&) {}, [](const configuration_rejected&) {}},
            effect);
    }
}

void configuration_world::check_versions(std::size_t n)
{
    auto& it = nodes_[n];
    if (!it.store->ready()) {
        return;
    }
    for (auto& [name, highest] : it.highest) {
        const auto* const held = it.store->held(name);
        const auto version = held == nullptr ? object_version{} : held->version;
        if (version < highest) {
            const auto accepted = accepted_.find(name);
            const bool counts = accepted != accepted_.end() && version < accepted->second;
            ++(counts ? report_.reversions : report_.withdrawn);
            highest = version;
        }
    }
    for (const auto& [name, version] : it.store->versions()) {
        auto& highest = it.highest[name];
        highest = std::max(highest, version);
    }
}

void configuration_world::request(std::size_t n, const std::string& method, const std::string& path,
                                  const std::string& body, std::optional<std::uint64_t> if_version)
{
    admin_request request;
    request.exchange = admin_exchange{++last_exchange_};
    request.operator_name = "operator" + std::to_string(n);
    request.method = method;
    request.path = path;
    request.body = body;
    request.if_version = if_version;
    request.random_text = "0123456789abcdef0123456789abcdef";
    deliver(n, nodes_[n].run, events_.now(), [request](node& at, time_point now) {
        return at.admin->request(request, wall_time{now.time_since_epoch()}, now);
    });
}

void configuration_world::change_target(std::size_t n, const std::string& id,
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

bool configuration_world::was_stored(const std::string& id, const std::string& value) const
{
    for (const auto& it : platform_.history) {
        if (it.name == config_object_name(config_kind::targets, id) &&
            it.document.find("\"max_in_flight\":" + value + ",") != std::string::npos) {
            return true;
        }
    }
    return false;
}

void configuration_world::take_answer(const admin_answer& answer)
{
    answers_.push_back(answer);
    const auto it = changes_.find(answer.exchange.value());
    if (it == changes_.end()) {
        return;
    }
    const auto& change = it->second;
    if (answer.status == http_ok) {
        ++report_.accepted;
        const auto body = nlohmann::json::parse(answer.json);
        auto& highest = accepted_[body.at("object").get<std::string>()];
        highest = std::max(highest, object_version{body.at("object_version")});
        report_.false_accepts += was_stored(change.id, change.value) ? 0 : 1;
        if (change.if_version && !replaced_.insert({change.id, *change.if_version}).second) {
            ++report_.lost_updates;
        }
        return;
    }
    if (answer.status == http_conflict) {
        ++report_.conflicts;
        refused_.insert(it->first);
        return;
    }
    if (answer.status == http_unavailable) {
        ++report_.refused;
        refused_.insert(it->first);
        return;
    }
    ++report_.undecided;
}

void configuration_world::restart(std::size_t n)
{
    start(n);
}

void configuration_world::pause(std::size_t n, duration length)
{
    nodes_[n].paused_until = events_.now() + length;
}

void configuration_world::cut(std::size_t n, bool off)
{
    nodes_[n].is_cut = off;
}

std::size_t configuration_world::holders(const std::string& object, object_version version) const
{
    std::size_t out = 0;
    for (const auto& it : nodes_) {
        const auto* const held = it.store->held(object);
        out += held != nullptr && held->version >= version ? 1 : 0;
    }
    return out;
}

configuration_report configuration_world::finish(duration bound)
{
    const bool down = platform_.faults.down;
    platform_.faults = {};
    platform_.faults.down = down;
    for (auto& it : nodes_) {
        it.is_cut = false;
        it.paused_until = std::min(it.paused_until, events_.now());
    }
    const auto accepted = accepted_;
    run_for(bound);
    for (const auto& it : nodes_) {
        for (const auto& [name, version] : accepted) {
            const auto* const held = it.store->held(name);
            const bool holds = held != nullptr && held->version >= version;
            report_.missing += it.store->ready() && !holds ? 1 : 0;
        }
    }
    for (const auto it : refused_) {
        const auto& change = changes_.at(it);
        report_.false_refusals += was_stored(change.id, change.value) ? 1 : 0;
    }
    return report_;
}

configuration_report run_configuration_schedule(std::uint64_t seed,
                                                const configuration_world_settings& settings,
                                                std::size_t steps)
{
    constexpr std::uint64_t kinds = 14;
    constexpr std::uint64_t targets = 4;
    random_source random{seed ^ 2U};
    configuration_world world{seed, settings};
    for (std::size_t n = 0; n < targets; ++n) {
        world.change_target(0, "t" + std::to_string(n), 0);
        world.run_for(std::chrono::seconds{3});
    }
    for (std::size_t n = 0; n < steps; ++n) {
        const auto router = random.below(settings.routers);
        const auto id = "t" + std::to_string(random.below(targets));
        const auto kind = random.below(kinds);
        auto& faults = world.platform().faults;
        world.report().faults += kind >= 7 ? 1 : 0;
        switch (kind) {
        case 0:
        case 1:
        case 2:
            world.change_target(router, id);
            break;
        case 3:
        case 4: {
            const auto held =
                world.store(router).held(config_object_name(config_kind::targets, id));
            const auto object = held == nullptr ? "" : held->document;
            const auto json = nlohmann::json::parse(object, nullptr, false);
            const auto revision =
                json.is_object() && json["entries"].contains(id)
                    ? json["entries"][id]["changed"]["revision"].get<std::uint64_t>()
                    : 0;
            world.change_target(router, id, revision);
            world.change_target((router + 1) % settings.routers, id, revision);
            break;
        }
        case 5:
        case 6:
            world.run_for(milliseconds(random.below(1500)));
            break;
        case 7:
            world.pause(router, milliseconds(random.below(6000)));
            break;
        case 8:
            world.restart(router);
            break;
        case 9:
            world.cut(router, random.below(2) == 0);
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
        world.run_for(milliseconds(random.below(50)));
    }
    return world.finish(std::chrono::seconds{3});
}

} // namespace endivelatch
