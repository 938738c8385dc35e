#pragma once

#include "endivelatch/entry/entry_process.hpp"

/// Members of entry_process for its start and stop, the other interfaces, the copies and the view
/// of the fleet.

namespace endivelatch {

template <entry_protocol Protocol>
entry_process<Protocol>::entry_process(event_loop& loop, const entry_settings& settings,
                                       std::string settings_path,
                                       std::shared_ptr<bounded_sink> sink,
                                       std::shared_ptr<spdlog::logger> log)
    : loop_{&loop}, settings_{settings}, file_{std::move(settings_path)}, sink_{std::move(sink)},
      log_{std::move(log)}, router_{settings_for_traffic()},
      caller_server_{loop,
                     {[this](exchange_number id, request_head&& head, std::string&& body) {
                          on_request(id, std::move(head), std::move(body));
                      },
                      [this](exchange_number id) { deliver(caller_disconnected{id}); },
                      [this](exchange_number id) { on_drained(id); }}},
      readiness_server_{
          loop, request_only_callbacks([this](exchange_number id, const request_head& head) {
              on_readiness_request(id, head);
          })},
      entry_server_{loop,
                    request_only_callbacks([this](exchange_number id, const request_head& head) {
                        on_entry_request(id, head);
                    })},
      peer_server_{loop,
                   {[this](exchange_number id, request_head&& head, std::string&&) {
                        on_peer_request(id, head);
                    },
                    [this](exchange_number id) { copy_waiters_.erase(id); },
                    {}}},
      metrics_server_{loop,
                      request_only_callbacks([this](exchange_number id, const request_head& head) {
                          on_metrics_request(id, head);
                      })},
      target_pool_{loop,
                   {[this](outgoing_id id, response_head&& head) {
                        if (const auto key = find_attempt(id)) {
                            deliver(answer_begun{*key, Protocol::read_answer(std::move(head))});
                        }
                    },
                    [this](outgoing_id id, std::string_view bytes) {
                        if (const auto key = find_attempt(id)) {
                            deliver(answer_bytes{*key, std::string{bytes}});
                        }
                    },
                    [this](outgoing_id id) {
                        if (const auto key = remove_attempt(id)) {
                            deliver(answer_finished{*key});
                        }
                    },
                    [this](outgoing_id id, request_failure&& failure) {
                        if (const auto key = remove_attempt(id)) {
                            deliver(attempt_broken{*key, failure.stage, std::move(failure.reason),
                                                   failure.is_closed_by_peer});
                        }
                    }}},
      call_client_{loop}, configuration_mirror_{loop,
                                                call_client_,
                                                object_kind::configuration,
                                                settings.store,
                                                mirror_settings{},
                                                stable_hash(settings.id.str()),
                                                {[this] { configuration_updated(); },
                                                 [this](store_era era) { learn_era(era); },
                                                 [this] { answer_copy_waiters(); },
                                                 [this] { return fleet_.live_peers(); },
                                                 [this] { return fleet_.sources(); },
                                                 [this] { return fleet_.is_joining(); },
                                                 [this](log_event&& e) { write(std::move(e)); }}},
      target_mirror_{loop,
                     call_client_,
                     object_kind::targets,
                     settings.store,
                     // Registrations that expired during an outage are renewed within two seconds.
                     mirror_settings{.removal_grace = std::chrono::milliseconds{1'800},
                                     .first_list_may_be_stale = true},
                     stable_hash(settings.id.str()) + 1,
                     {[this] { targets_updated(); }, [this](store_era era) { learn_era(era); },
                      [this] { answer_copy_waiters(); }, [this] { return fleet_.live_peers(); },
                      [this] { return fleet_.sources(); }, [this] { return fleet_.is_joining(); },
                      [this](log_event&& e) { write(std::move(e)); }}},
      evacuation_mirror_{
          loop,
          call_client_,
          object_kind::evacuations,
          settings.store,
          mirror_settings{.first_list_may_be_stale = true, .may_be_absent = true},
          stable_hash(settings.id.str()) + 2,
          {[this] { evacuations_updated(); }, [this](store_era era) { learn_era(era); },
           [this] { answer_copy_waiters(); }, [this] { return fleet_.live_peers(); },
           [this] { return fleet_.sources(); }, [this] { return fleet_.is_joining(); },
           [this](log_event&& e) { write(std::move(e)); }}},
      fleet_{loop,
             settings,
             incarnation{static_cast<std::uint64_t>(
                 std::chrono::system_clock::now().time_since_epoch() / duration{1'000})},
             {[this] {
                  deliver(fleet_changed{fleet_.live_count(), fleet_.live_fleet()});
                  for (const auto kind : kinds_read()) {
                      mirror_of(kind).on_peers_changed();
                  }
              },
              [this](object_kind kind, const member& holder, store_position position) {
                  learn_era(position.era);
                  mirror_of(kind).on_newer_copy(holder.link, position);
              },
              [this](std::vector<received_load>&& loads) {
                  deliver(loads_received{std::move(loads)});
              },
              [this](std::vector<received_failure>&& failures) {
                  deliver(failures_received{std::move(failures)});
              },
              [this](std::vector<received_limit>&& limits) {
                  deliver(limits_received{std::move(limits)});
              },
              [this](const crash_news& news) { deliver(crash_news_received{news}); },
              [this] { return router_.crashes().next_news(loop_->now()); },
              [this](usage_report&& usage) { deliver(usage_received{std::move(usage)}); },
              [this] { return router_.next_usage_report(loop_->now()); },
              [this](duration delay) { on_pause(delay); },
              [this](log_event&& e) { write(std::move(e)); }}},
      router_timer_{loop, [this] { on_router_timer(); }}, housekeeping_{loop,
                                                                        [this] { housekeep(); }},
      stop_timer_{loop, [this] { check_stop(); }}, peer_lookup_timer_{loop,
                                                                      [this] { find_peers(); }},
      copy_waiters_timer_{loop, [this] { answer_copy_waiters(); }},
      flush_timer_{loop, [this] { sink_->write_buffered(); }}, on_terminate_{loop, SIGTERM,
                                                                             [this] { stop(); }},
      on_interrupt_{loop, SIGINT, [this] { stop(); }}, on_hang_up_{loop, SIGHUP,
                                                                   [this] { reload("signal"); }},
      on_more_verbose_{loop, SIGUSR1, [this] { set_log_level(more_verbose(log_->level())); }},
      on_less_verbose_{loop, SIGUSR2, [this] { set_log_level(less_verbose(log_->level())); }}
{
    file_.read();
    set_up_limits();
}

template <entry_protocol Protocol>
findings entry_process<Protocol>::start()
{
    findings errors;
    const auto bind = [&](request_server& server, const std::optional<endpoint>& address) {
        if (!address) {
            return;
        }
        for (auto& finding : server.start(*address)) {
            errors.push_back(std::move(finding));
        }
    };
    bind(caller_server_, settings_.requests);
    bind(readiness_server_, settings_.readiness);
    bind(entry_server_, settings_.entries);
    bind(peer_server_, settings_.peers);
    bind(metrics_server_, settings_.metrics);
    for (auto& finding : fleet_.start()) {
        errors.push_back(std::move(finding));
    }
    configuration_mirror_.start();
    target_mirror_.start();
    start_reading_evacuations();
    announce();
    housekeep();
    find_peers();
    write(log_event{"started"}
              .add("router", settings_.id)
              .add("domain", settings_.domain)
              .add("requests", settings_.requests.address)
              .add("port", settings_.requests.port)
              .add("settings", file_.path()));
    return errors;
}

template <entry_protocol Protocol>
traffic_settings entry_process<Protocol>::settings_for_traffic() const
{
    const auto& bounds = settings_.bounds;
    return {settings_.domain,
            bounds.retry_share,
            bounds.retry_burst,
            bounds.load_bound,
            bounds.cold_overage,
            bounds.cold_slack,
            bounds.evacuation_time.has_value(),
            shares_.buffered_answers,
            bounds.waits_for_room};
}

template <entry_protocol Protocol>
void entry_process<Protocol>::write(log_event&& event)
{
    log_->log(level_of(event), event.to_line());
    if (!std::exchange(is_flush_posted_, true)) {
        loop_->post([this] {
            is_flush_posted_ = false;
            sink_->write_buffered();
            if (sink_->has_buffered() && !flush_timer_.is_active()) {
                flush_timer_.start(stop_check_interval);
            }
        });
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::on_readiness_request(exchange_number id, const request_head& head)
{
    if (!Protocol::is_readiness_query(head.target)) {
        readiness_server_.respond(id, 404, {}, {});
        return;
    }
    readiness_server_.respond(id, is_ready() ? 200 : 503, {}, {});
}

template <entry_protocol Protocol>
void entry_process<Protocol>::on_entry_request(exchange_number id, const request_head& head)
{
    const auto query = Protocol::read_entry_query(head.target);
    if (!query) {
        entry_server_.respond(id, 404, {}, {});
        return;
    }
    auto addresses = fleet_.ready_peers();
    if (is_ready()) {
        addresses.push_back(settings_.requests);
    }
    router_.metrics().add("entry_queries");
    if (addresses.empty()) {
        entry_server_.respond(id, 503, {}, {});
        return;
    }
    entry_server_.respond(id, 200, {{"Content-Type", "application/json"}},
                          Protocol::write_entry_list(addresses, settings_.bounds.entry_lifetime));
}

template <entry_protocol Protocol>
mirror_client<Protocol>& entry_process<Protocol>::mirror_of(object_kind kind)
{
    switch (kind) {
    case object_kind::configuration:
        return configuration_mirror_;
    case object_kind::evacuations:
        return evacuation_mirror_;
    case object_kind::targets:
    case object_kind::routers:
        break;
    }
    return target_mirror_;
}

template <entry_protocol Protocol>
void entry_process<Protocol>::on_peer_request(exchange_number id, const request_head& head)
{
    const auto query = read_copy_query(head.target, head.headers);
    if (!query) {
        peer_server_.respond(id, 404, {}, {});
        return;
    }
    learn_era(query->newer_than.era);
    const auto& copy = mirror_of(query->kind);
    if (query->from_watcher && !copy.may_be_followed()) {
        peer_server_.respond(id, copy_answer::not_watching, {}, {});
        return;
    }
    const auto now = loop_->now();
    if (answer_copy(id, *query, now)) {
        return;
    }
    const auto wait = mirror_client<Protocol>::wait_of(*query);
    if (!copy.mirror().is_connected() || wait == duration{}) {
        answer_without_copy(id, *query, now);
        return;
    }
    copy_waiters_.emplace(id, copy_waiter{*query, now, now + wait});
    if (!copy_waiters_timer_.is_active()) {
        copy_waiters_timer_.start(copy_waiters_interval);
    }
}

template <entry_protocol Protocol>
bool entry_process<Protocol>::answer_copy(exchange_number id, const copy_query& query,
                                          time_point asked_at)
{
    const auto& copy = mirror_of(query.kind);
    if (!copy.mirror().is_exact() || copy.mirror().position() <= query.newer_than) {
        return false;
    }
    const auto answer = copy.answer(query, max_small_copy_size(settings_.link_rate));
    router_.metrics().add("copies_sent", 1, "status=\"" + std::to_string(answer.status) + '"');
    router_.metrics().add("copy_bytes_sent", answer.body.size());
    auto headers = write_copy_era(copy.mirror().position().era);
    headers.push_back({"Content-Type", "application/json"});
    headers.push_back(confirmation_of(copy, asked_at));
    peer_server_.respond(id, answer.status, headers, answer.body);
    return true;
}

template <entry_protocol Protocol>
http_header entry_process<Protocol>::confirmation_of(const mirror_client<Protocol>& copy,
                                                     time_point asked_at)
{
    const auto confirmed_at = copy.confirmed_at();
    return write_confirmation(confirmed_at ? *confirmed_at - asked_at : never_confirmed);
}

/// Answers that there is no newer copy, and when the store has confirmed the present one.
template <entry_protocol Protocol>
void entry_process<Protocol>::answer_without_copy(exchange_number id, const copy_query& query,
                                                  time_point asked_at)
{
    const auto& copy = mirror_of(query.kind);
    if (query.from_watcher && !copy.mirror().is_connected()) {
        peer_server_.respond(id, copy_answer::store_lost, {}, {});
        return;
    }
    peer_server_.respond(id, copy_answer::nothing_newer, {confirmation_of(copy, asked_at)}, {});
}

/// Answers a query that waits, if there is a newer copy, its wait is over, the store has confirmed
/// the copy since, or a follower has to look for another source.
template <entry_protocol Protocol>
bool entry_process<Protocol>::answer_copy_waiter(exchange_number id, const copy_waiter& waiter)
{
    const auto& query = waiter.query;
    if (answer_copy(id, query, waiter.asked_at)) {
        return true;
    }
    const auto& copy = mirror_of(query.kind);
    const bool is_confirmed = query.wait && copy.confirmed_at() > waiter.asked_at;
    const bool has_lost = query.from_watcher && !copy.mirror().is_connected();
    if (!is_confirmed && !has_lost && loop_->now() < waiter.until) {
        return false;
    }
    answer_without_copy(id, query, waiter.asked_at);
    return true;
}

template <entry_protocol Protocol>
void entry_process<Protocol>::answer_copy_waiters()
{
    std::erase_if(copy_waiters_,
                  [this](const auto& it) { return answer_copy_waiter(it.first, it.second); });
    if (!copy_waiters_.empty() && !copy_waiters_timer_.is_active()) {
        copy_waiters_timer_.start(copy_waiters_interval);
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::on_metrics_request(exchange_number id, const request_head&)
{
    metrics_server_.respond(id, 200, {{"Content-Type", "text/plain; version=0.0.4"}},
                            router_.metrics().to_text());
}

template <entry_protocol Protocol>
void entry_process<Protocol>::configuration_updated()
{
    const auto& objects = configuration_mirror_.mirror().objects();
    fleet_.publish_copy(object_kind::configuration, configuration_mirror_.mirror().position());
    answer_copy_waiters();
    if (objects.empty()) {
        return;
    }
    auto read = Protocol::read_configuration(objects.begin()->second);
    if (!has_value(read)) {
        write(log_event{"configuration_unreadable"}.add("reason", to_string(findings_of(read))));
        return;
    }
    auto version = std::make_shared<const traffic_configuration>(
        std::get<traffic_configuration>(std::move(read)));
    const auto* current = router_.configuration();
    if (current != nullptr && version->version() <= current->version()) {
        return; // An older version never replaces a newer one.
    }
    const auto& limits = version->limits();
    caller_server_.set_limits({limits.sizes, limits.header_timeout, limits.idle_timeout,
                               caller_server_.limits().max_connections});
    share_memory_of_vm(limits.sizes.body);
    deliver(configuration_changed{std::move(version)});
    publish_ready();
}

template <entry_protocol Protocol>
void entry_process<Protocol>::targets_updated()
{
    const auto& mirror = target_mirror_.mirror();
    fleet_.publish_copy(object_kind::targets, mirror.position());
    answer_copy_waiters();
    targets_changed changed;
    changed.revision = mirror.position().revision.value();
    changed.restored_at = mirror.restored_at();
    std::set<endpoint> addresses;
    const auto logged_revisions = std::exchange(unreadable_revisions_, {});
    for (const auto* object : mirror.objects_in_use()) {
        auto target = Protocol::read_target(*object);
        if (has_value(target)) {
            addresses.insert(value_of(target).address);
            changed.targets.push_back(std::get<registered_target>(std::move(target)));
            continue;
        }
        unreadable_revisions_[object->name] = object->revision;
        const auto logged = logged_revisions.find(object->name);
        if (logged == logged_revisions.end() || logged->second != object->revision) {
            write(log_event{"registration_unreadable"}
                      .add("target", object->name)
                      .add("reason", to_string(findings_of(target))));
        }
    }
    target_pool_.close_idle_except(addresses);
    deliver(std::move(changed));
    publish_ready();
}

template <entry_protocol Protocol>
void entry_process<Protocol>::start_reading_evacuations()
{
    if (settings_.bounds.evacuation_time && !std::exchange(reads_evacuations_, true)) {
        evacuation_mirror_.start();
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::evacuations_updated()
{
    const auto& mirror = evacuation_mirror_.mirror();
    fleet_.publish_copy(object_kind::evacuations, mirror.position());
    answer_copy_waiters();
    evacuations_changed changed{{}, mirror.position().revision.value()};
    for (const auto* object : mirror.objects_in_use()) {
        changed.domains.insert(Protocol::read_evacuation(*object));
    }
    deliver(std::move(changed));
    publish_ready();
}

template <entry_protocol Protocol>
std::vector<object_kind> entry_process<Protocol>::kinds_read() const
{
    std::vector<object_kind> kinds{object_kind::configuration, object_kind::targets};
    if (reads_evacuations_) {
        kinds.push_back(object_kind::evacuations);
    }
    return kinds;
}

/// Tells all copies the store's era. What this router had registered may be lost in a later one.
template <entry_protocol Protocol>
void entry_process<Protocol>::learn_era(store_era era)
{
    if (era <= era_) {
        return;
    }
    const bool is_first = std::exchange(era_, era) == store_era{};
    for (const auto kind : kinds_read()) {
        mirror_of(kind).on_era(era);
    }
    if (!is_first && !is_stopping_) {
        announce();
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::announce()
{
    const auto call = Protocol::register_router_call(settings_);
    call_client_.call({settings_.store, call.method, call.target, call.body, call_timeout},
                      [this](call_outcome&& outcome) {
                          const auto* reply = std::get_if<call_reply>(&outcome);
                          write(log_event{"announced"}.add("status", reply ? reply->status : 0));
                      });
}

template <entry_protocol Protocol>
void entry_process<Protocol>::find_peers()
{
    if (fleet_.has_peers()) {
        return;
    }
    peer_lookup_timer_.start(peer_lookup_interval);
    const auto call = Protocol::list_call(object_kind::routers, list_objects{});
    call_client_.call(
        {settings_.store, call.method, call.target, call.body, call_timeout},
        [this](call_outcome&& outcome) {
            const auto* reply = std::get_if<call_reply>(&outcome);
            if (reply != nullptr) {
                learn_era(Protocol::read_store_era(reply->headers));
            }
            const auto page = reply == nullptr
                                  ? result<object_page>{one_finding("store", "no answer")}
                                  : Protocol::read_page(reply->body);
            if (!has_value(page)) {
                write(log_event{"no_peers_found"}.add("reason", to_string(findings_of(page))));
                fleet_.end_lookup();
                return;
            }
            std::vector<endpoint> found;
            routers_found routers{{key_of(settings_.id), {}}};
            for (const auto& object : value_of(page).objects) {
                const auto address = Protocol::read_router(object);
                if (has_value(address)) {
                    found.push_back(value_of(address));
                    routers.registered.others.push_back(key_of(router_id{object.name}));
                }
            }
            fleet_.add_seeds(found);
            fleet_.end_lookup();
            deliver(std::move(routers));
        });
}

template <entry_protocol Protocol>
void entry_process<Protocol>::on_pause(duration delay)
{
    write(log_event{"paused"}.add("ms", delay.count() / 1'000));
    for (const auto kind : kinds_read()) {
        mirror_of(kind).refresh();
    }
}

template <entry_protocol Protocol>
void entry_process<Protocol>::on_router_timer()
{
    deliver(timer_due{});
    publish_ready();
}

template <entry_protocol Protocol>
void entry_process<Protocol>::publish_ready()
{
    if (std::exchange(was_ready_, is_ready()) == is_ready()) {
        return;
    }
    write(log_event{"readiness"}.add("ready", is_ready() ? 1 : 0));
    fleet_.publish_ready(is_ready());
}

template <entry_protocol Protocol>
void entry_process<Protocol>::housekeep()
{
    housekeeping_.start(housekeeping_interval);
    if (file_.has_changed()) {
        reload("file");
    }
    router_.update_work_gauges();
    auto& metrics = router_.metrics();
    metrics.set("ready", is_ready() ? 1 : 0);
    for (const auto kind : kinds_read()) {
        const auto labels = "kind=\"" + std::string{to_string(kind)} + '"';
        const auto& mirror = mirror_of(kind).mirror();
        metrics.set("store_connected", mirror.is_connected() ? 1 : 0, labels);
        const auto position = mirror.position();
        metrics.set("copy_revision", static_cast<std::int64_t>(position.revision.value()), labels);
        metrics.set("copy_era", static_cast<std::int64_t>(position.era.value()), labels);
        if (const auto confirmed_at = mirror_of(kind).confirmed_at()) {
            const auto age = loop_->now() - *confirmed_at;
            metrics.set("copy_confirmed_age_ms", age.count() / 1'000, labels);
        }
    }
    metrics.set("requests_active", static_cast<std::int64_t>(router_.active()));
    metrics.set("caller_connections", static_cast<std::int64_t>(caller_server_.connections()));
    metrics.set("target_connections", static_cast<std::int64_t>(target_pool_.connections()));
    metrics.set("target_connections_opened", static_cast<std::int64_t>(target_pool_.opened()));
    metrics.set("calls_made", static_cast<std::int64_t>(call_client_.calls_made()));
    metrics.set("gossip_bytes_sent", static_cast<std::int64_t>(fleet_.bytes_sent()));
    report_limits();
    metrics.set("log_lines_dropped", static_cast<std::int64_t>(sink_->dropped()));
}

template <entry_protocol Protocol>
void entry_process<Protocol>::reload(std::string_view cause)
{
    const auto text = file_.read();
    const auto read = text ? Protocol::read_settings(*text)
                           : result<entry_settings>{one_finding(file_.path(), "cannot be read")};
    if (!has_value(read)) {
        write(log_event{"settings_kept"}
                  .add("cause", cause)
                  .add("reason", to_string(findings_of(read))));
        return;
    }
    const bool has_changed_bounds = value_of(read).bounds != settings_.bounds;
    settings_.bounds = value_of(read).bounds;
    start_reading_evacuations();
    router_.set_settings(settings_for_traffic());
    fleet_.add_seeds(value_of(read).seeds);
    write(log_event{"settings_reloaded"}
              .add("cause", cause)
              .add("changed", has_changed_bounds ? 1 : 0));
}

template <entry_protocol Protocol>
void entry_process<Protocol>::set_log_level(spdlog::level::level_enum level)
{
    log_->set_level(spdlog::level::info); // Ensures that the change itself is logged.
    write(log_event{"log_level"}.add("level", spdlog::level::to_string_view(level).data()));
    log_->set_level(level);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::stop()
{
    if (std::exchange(is_stopping_, true)) {
        return;
    }
    stop_started_at_ = loop_->now();
    write(log_event{"stopping"}.add("active", router_.active()));
    deliver(stop_announced{stop_started_at_ + settings_.bounds.stop_grace - stop_margin});
    publish_ready();
    fleet_.leave();
    caller_server_.close_connections();
    const auto call = Protocol::forget_router_call(settings_);
    call_client_.call({settings_.store, call.method, call.target, call.body, call_timeout},
                      [](call_outcome&&) {});
    stop_timer_.start(stop_check_interval);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::check_stop()
{
    const auto elapsed = loop_->now() - stop_started_at_;
    const auto grace = settings_.bounds.stop_grace;
    if (elapsed >= grace - stop_margin && !std::exchange(has_ended_requests_, true)) {
        write(log_event{"stop_time_over"}.add("active", router_.active()));
        deliver(exit_announced{});
    }
    const bool has_time_passed = has_ended_requests_ || elapsed >= min_stop_time;
    const bool is_done =
        has_time_passed && router_.active() == 0 && !caller_server_.has_unfinished_work();
    if (is_done || elapsed >= grace - exit_margin) {
        write(log_event{"stopped"}.add("active", router_.active()));
        sink_->write_buffered();
        loop_->stop();
        return;
    }
    stop_timer_.start(stop_check_interval);
}

} // namespace endivelatch
