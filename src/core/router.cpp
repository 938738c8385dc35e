#include "endivelatch/core/router.hpp"

#include "endivelatch/base/overloaded.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

constexpr std::size_t max_time_line_events = 20'000;
constexpr std::size_t max_time_line_bytes = 8'000'000;
/// Admission stays this fraction below the configured load bound; see docs/design/routing.md.
constexpr double admission_bound_margin = 0.07;
constexpr duration max_timer_interval = std::chrono::milliseconds{100};

std::string run_name(const router_settings& settings, incarnation run)
{
    return settings.self.id.str() + '.' + std::to_string(run.value());
}

admission_settings settings_for_admission()
{
    admission_settings settings;
    settings.bound_margin = admission_bound_margin;
    return settings;
}

member with_run(member self, incarnation run)
{
    self.run = run;
    return self;
}

} // namespace

router::router(router_settings settings, incarnation run)
    : settings_{std::move(settings)}, run_{run},
      time_line_{max_time_line_events, max_time_line_bytes}, hints_{settings_.fleet_key},
      membership_{with_run(settings_.self, run), membership_settings{}, settings_.seed},
      admission_{settings_for_admission()}, store_{settings_.self.id, settings_.seed,
                                                   configuration_store_settings{}, platform_calls_},
      administration_{run_name(settings_, run), administration_settings{}, store_, platform_calls_},
      entry_requests_{settings_.self.id, run,
                      [this](const request_spec& spec, const std::vector<target_id>& tried,
                             const moment& at) { return find_route(spec, tried, at); },
                      [this](const organisation_id&, const moment& at) {
                          return retry_budget_.try_retry(at.now);
                      }},
      runs_{settings_}, bookings_{settings_.self.id, run, platform_calls_,
                                  [this](booking_sink sink, request_spec spec, const moment& at,
                                         outbox& out) {
                                      entry_requests_.start(sink, std::move(spec), at, out);
                                  }}
{
    settings_.self.run = run;
    members_[settings_.self.id] = settings_.self;
    access_.configure(store_.current());
}

router_effects router::start(const moment& at)
{
    outbox out{counters_};
    started_at_ = at.now;
    out.log(log_event{"router_started"}
                .add("incarnation", run_.value())
                .add("failure_domain", settings_.self.domain)
                .add("region", settings_.self.region));
    on(peers_listed{settings_.seeds}, at, out);
    apply(store_.boot(at.now), at, out);
    return process_outbox(out, at);
}

router_effects router::reduce(const router_event& e, const moment& at)
{
    outbox out{counters_};
    std::visit([&](const auto& event) { on(event, at, out); }, e);
    return process_outbox(out, at);
}

bool router::deliver_outputs(const moment& at, outbox& out)
{
    bool any = false;
    for (const auto& output : entry_requests_.take_outputs()) {
        any = true;
        if (const auto* booking = std::get_if<booking_sink>(&output.sink)) {
            bookings_.on_output(booking->booking, output, at, out);
            entry_requests_.on_sink_drained(output.request, out);
            continue;
        }
        responses_.on_output(std::get<exchange_sink>(output.sink).exchange, output, out);
        if (!output.streams) {
            entry_requests_.on_sink_drained(output.request, out);
        }
    }
    for (const auto& run : runs_.take_finished()) {
        any = true;
        apply(admission_.finished(run.key, run.work_tokens, at.now), at, out);
    }
    return any;
}

router_effects router::process_outbox(outbox& out, const moment& at)
{
    router_effects effects;
    for (;;) {
        const bool any = deliver_outputs(at, out);
        auto batch = out.take();
        if (batch.empty() && !any) {
            break;
        }
        for (auto& effect : batch) {
            if (auto* log = std::get_if<write_log>(&effect)) {
                log->entry.process = settings_.self.id.str();
                log->entry.stamp = clock_.local(at.wall);
                time_line_.add(to_line(log->entry));
            }
            auto* message = std::get_if<send_peer>(&effect);
            if (message == nullptr) {
                effects.push_back(std::move(effect));
                continue;
            }
            message->envelope.from = settings_.self.id;
            message->envelope.from_incarnation = run_;
            message->envelope.stamp = clock_.local(at.wall);
            if (message->to == settings_.self.id) {
                on(peer_received{std::move(message->envelope)}, at, out);
                continue;
            }
            const auto to = members_.find(message->to);
            if (to == members_.end()) {
                out.count("messages_dropped", "reason=\"unknown_router\"");
                continue;
            }
            message->link = to->second.link;
            effects.push_back(std::move(effect));
        }
    }
    effects.emplace_back(set_timer{next_timer(at)});
    return effects;
}

time_point router::next_timer(const moment& at) const
{
    auto next = at.now + max_timer_interval;
    if (stopped_) {
        return next;
    }
    if (const auto it = entry_requests_.next_timer()) {
        next = std::min(next, *it);
    }
    if (const auto it = admission_.next_timer(at.now)) {
        next = std::min(next, *it);
    }
    next = std::min({next, bookings_.next_timer(), store_.next_timer(),
                     administration_.next_timer(), membership_.next_timer()});
    return std::max(next, at.now);
}

void router::on(const timer_expired& /*e*/, const moment& at, outbox& out)
{
    if (stopped_) {
        return;
    }
    apply(membership_.tick(at.now), at, out);
    if (const auto sent = membership_.last_acked_probe_at()) {
        apply(admission_.renew_lease(*sent, at.now), at, out);
    }
    join_owners(at, out);
    directory_.expire(at.now);
    apply(admission_.tick(at.now), at, out);
    entry_requests_.tick(at, out);
    runs_.tick(at);
    bookings_.tick(at, out);
    apply(store_.tick(at.now), at, out);
    apply(administration_.tick(at.now), at, out);
    probe_targets(at, out);
    publish_loads(at);
    refresh_remote_loads(at, out);
    reconcile_ownership(at, out);
    finish_stop(at, out);
}

void router::on(const peers_listed& e, const moment& /*at*/, outbox& /*out*/)
{
    membership_.set_seeds(e.gossip);
}

void router::on(const stop_requested& /*e*/, const moment& at, outbox& out)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_after_ = at.now + store_.current().defaults.entry_lifetime;
    out.log(log_event{"stop_requested"}
                .add("requests", entry_requests_.size())
                .add("runs", runs_.running()));
    apply(membership_.leave(at.now), at, out);
    auto self = members_.at(settings_.self.id);
    self.status = member_status::leaving;
    on_member_changed(self, at, out);
}

void router::finish_stop(const moment& at, outbox& out)
{
    const bool idle =
        entry_requests_.size() == 0 && runs_.running() == 0 && bookings_.in_progress() == 0;
    if (!stopping_ || stopped_ || at.now < stop_after_ || !idle) {
        return;
    }
    stopped_ = true;
    out.log(log_event{"router_stopped"});
    apply(membership_.stop(at.now), at, out);
    out.push(exit_process{});
}

} // namespace endivelatch
