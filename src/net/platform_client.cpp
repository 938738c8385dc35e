#include "endivelatch/net/platform_client.hpp"

#include "endivelatch/base/overloaded.hpp"
#include "platform_json.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

namespace {

/// Upper bound of the interval between checks of the queues.
constexpr duration max_queue_check_interval{100'000};

/// HTTP statuses of the object API.
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int status_content_too_large = 413;
constexpr int status_too_many_requests = 429;
constexpr int status_service_unavailable = 503;

/// Returns the time in milliseconds, rounded up.
std::string milliseconds_text(duration time)
{
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(time).count());
}

/// Returns the If-Match header for the expected version of a write.
http_header if_match(object_version expected)
{
    return {"If-Match", "\"" + std::to_string(expected.value()) + "\""};
}

} // namespace

platform_client::platform_client(event_loop& loop, platform_client_settings settings,
                                 platform_client_callbacks callbacks)
    : loop_{&loop}, settings_{std::move(settings)}, callbacks_{std::move(callbacks)},
      random_{settings_.seed}, read_budget_{settings_.read_rate, settings_.burst},
      write_budget_{settings_.write_rate, settings_.burst}, queue_timer_{loop,
                                                                         [this] { send_queued(); }},
      client_{
          loop,
          {[this](call_id id, int status, const http_headers&) { pending_.at(id).status = status; },
           [this](call_id id, std::string_view data) {
               auto& it = pending_.at(id);
               if (it.body.size() + data.size() > settings_.max_response) {
                   client_.cancel(id);
                   finish(std::move(pending_.extract(id).mapped()),
                          call_failure{call_failure_kind::broken, true, "too large"});
                   return;
               }
               it.body += data;
           },
           [this](call_id id, call_end&& end) {
               finish(std::move(pending_.extract(id).mapped()), std::move(end));
           }}}
{
}

bool platform_client::is_write(const request& req)
{
    return std::holds_alternative<write_object>(req) || std::holds_alternative<delete_object>(req);
}

bool platform_client::is_watch(const request& req)
{
    return std::holds_alternative<watch_objects>(req);
}

void platform_client::submit(platform_call call)
{
    std::visit([this](auto& it) { enqueue(std::move(it)); }, call);
}

void platform_client::list_vms()
{
    enqueue(read_vms{});
}

void platform_client::cancel(platform_call_id id)
{
    const auto is_cancelled = [id](const request& req) {
        const auto* watch = std::get_if<watch_objects>(&req);
        return watch != nullptr && watch->call == id;
    };
    std::erase_if(reads_, [&](const queued_request& it) { return is_cancelled(it.req); });
    std::erase_if(pending_, [&](const auto& entry) {
        if (!is_cancelled(entry.second.req)) {
            return false;
        }
        client_.cancel(entry.first);
        return true;
    });
}

void platform_client::enqueue(request req)
{
    auto& queue = is_write(req) ? writes_ : reads_;
    if (!is_watch(req) && (is_backing_off() || queue.size() >= settings_.max_queued)) {
        ++counts_.refused;
        report_later(std::move(req), is_backing_off() ? "the platform is down"
                                                      : "too many calls wait for the platform");
        return;
    }
    queue.push_back({std::move(req), loop_->now() + settings_.call_timeout});
    queue_timer_.start({});
}

void platform_client::send_queued()
{
    const time_point now = loop_->now();
    duration wait = max_queue_check_interval;
    for (auto* queue : {&writes_, &reads_}) {
        auto& budget = queue == &writes_ ? write_budget_ : read_budget_;
        while (!queue->empty()) {
            auto& first = queue->front();
            if (!is_watch(first.req) && (first.deadline <= now || is_backing_off())) {
                ++counts_.refused;
                report_later(std::move(first.req), "no budget for the call in time");
                queue->pop_front();
                continue;
            }
            if (is_backing_off() || !budget.take(now)) {
                wait = std::min(wait, std::max(budget.wait(now), backoff_until_ - now));
                break;
            }
            request req = std::move(first.req);
            queue->pop_front();
            send(std::move(req));
        }
    }
    if (!writes_.empty() || !reads_.empty()) {
        queue_timer_.start(std::max(wait, duration{1'000}));
    }
}

void platform_client::send(request req)
{
    ++(is_write(req) ? counts_.writes : counts_.reads);
    const call_id id = client_.start(make_call(req));
    pending_.emplace(id, pending_request{std::move(req), 0, {}});
}

http_call platform_client::make_call(const request& req)
{
    http_call call;
    const std::string& base = settings_.base_urls.at(base_url_index_);
    call.may_repeat = !is_write(req);
    call.fresh_connection = loop_->now() < fresh_connections_until_;
    call.connect_timeout = settings_.call_timeout;
    call.idle_timeout = settings_.call_timeout;
    const auto object_url = [&](const std::string& name) {
        return base + "/objects/" + encode_path(name);
    };
    std::visit(overloaded{
                   [&](const read_object& it) { call.url = object_url(it.name); },
                   [&](const list_objects& it) {
                       call.url = base + "/objects?prefix=" + encode_path(it.prefix);
                   },
                   [&](const write_object& it) {
                       call.method = "PUT";
                       call.url = object_url(it.name);
                       call.headers = {if_match(it.expected)};
                       call.body = std::make_shared<const std::string>(it.document);
                   },
                   [&](const delete_object& it) {
                       call.method = "DELETE";
                       call.url = object_url(it.name);
                       call.headers = {if_match(it.expected)};
                   },
                   [&](const watch_objects& it) {
                       call.url = base + "/objects?prefix=" + encode_path(it.prefix) +
                                  "&watch=1&after=" + std::to_string(it.after.value()) +
                                  "&timeout_ms=" + milliseconds_text(settings_.watch_timeout);
                       call.idle_timeout = settings_.watch_timeout + settings_.watch_grace;
                   },
                   [&](const read_vms&) { call.url = base + "/vms"; },
               },
               req);
    return call;
}

void platform_client::finish(pending_request it, call_end&& end)
{
    const bool writes = is_write(it.req);
    if (const auto* failure = std::get_if<call_failure>(&end)) {
        if (failure->kind == call_failure_kind::silent) {
            counts_.silent_watches += is_watch(it.req) ? 1 : 0;
            fresh_connections_until_ = loop_->now() + settings_.fresh_connection_period;
        }
        fail(std::move(it.req), writes && failure->request_bytes_sent, failure->reason);
        return;
    }
    if (it.status == status_service_unavailable || it.status == status_too_many_requests) {
        fail(std::move(it.req), false,
             it.status == status_service_unavailable ? "the platform has an outage"
                                                     : "the platform refuses the rate of calls");
        return;
    }
    const bool is_known = it.status == status_ok || it.status == status_not_found ||
                          it.status == status_precondition_failed ||
                          it.status == status_content_too_large;
    if (!is_known) {
        fail(std::move(it.req), writes, "unexpected status " + std::to_string(it.status));
        return;
    }
    consecutive_failures_ = 0;
    if (writes && it.status != status_ok) {
        const platform_call_id id = std::holds_alternative<write_object>(it.req)
                                        ? std::get<write_object>(it.req).call
                                        : std::get<delete_object>(it.req).call;
        const auto current = parse_version(it.body, "current");
        if (it.status == status_precondition_failed && current) {
            report(id, write_conflict{*current});
            return;
        }
        report(id, platform_failed{false, "refused with status " + std::to_string(it.status)});
        return;
    }
    if (it.status == status_not_found && std::holds_alternative<read_object>(it.req)) {
        const auto store = parse_version(it.body, "store");
        report(std::get<read_object>(it.req).call,
               objects_found{{}, store.value_or(object_version{})});
        return;
    }
    handle_response(it.req, it.body);
}

void platform_client::handle_response(const request& req, const std::string& body)
{
    if (std::holds_alternative<read_vms>(req)) {
        handle_vms(body);
        return;
    }
    if (!is_write(req)) {
        handle_objects(req, body);
        return;
    }
    const auto version = parse_version(body, "version");
    if (!version) {
        fail(req, true, "malformed response");
        return;
    }
    const auto* write = std::get_if<write_object>(&req);
    report(write != nullptr ? write->call : std::get<delete_object>(req).call,
           write_done{*version});
}

void platform_client::handle_objects(const request& req, const std::string& body)
{
    const auto* read = std::get_if<read_object>(&req);
    auto found = read != nullptr ? parse_object(body) : parse_objects(body);
    if (!found) {
        fail(req, false, "malformed response");
        return;
    }
    if (const auto* watch = std::get_if<watch_objects>(&req)) {
        if (found->objects.empty()) {
            enqueue(req);
            return;
        }
        report(watch->call, std::move(*found));
        return;
    }
    report(read != nullptr ? read->call : std::get<list_objects>(req).call, std::move(*found));
}

void platform_client::handle_vms(const std::string& body)
{
    auto vms = parse_vms(body);
    if (!vms) {
        fail(read_vms{}, false, "malformed response");
        return;
    }
    if (callbacks_.on_vms) {
        callbacks_.on_vms(std::move(*vms));
    }
}

void platform_client::fail(request req, bool may_have_taken_effect, std::string reason)
{
    ++counts_.failed;
    start_backoff();
    if (is_watch(req)) {
        enqueue(std::move(req));
        return;
    }
    std::visit(
        overloaded{[&](const read_vms&) {
                       if (callbacks_.on_vms) {
                           callbacks_.on_vms(one_finding("vms", std::move(reason)));
                       }
                   },
                   [&](const auto& it) {
                       report(it.call, platform_failed{may_have_taken_effect, std::move(reason)});
                   }},
        req);
}

void platform_client::start_backoff()
{
    const unsigned exponent = std::min(consecutive_failures_, 16U);
    const auto max_delay =
        std::min(settings_.min_retry_delay * (1U << exponent), settings_.max_retry_delay);
    const double jitter_factor = 0.5 + random_.fraction() / 2;
    backoff_until_ = loop_->now() + std::chrono::duration_cast<duration>(max_delay * jitter_factor);
    ++consecutive_failures_;
    base_url_index_ = (base_url_index_ + 1) % settings_.base_urls.size();
}

void platform_client::report(platform_call_id id, decltype(platform_answer::body) body)
{
    if (callbacks_.on_answer) {
        callbacks_.on_answer({id, std::move(body)});
    }
}

void platform_client::report_later(request req, std::string reason)
{
    loop_->post([this, refused = std::move(req), why = std::move(reason)] {
        std::visit(overloaded{[&](const read_vms&) {
                                  if (callbacks_.on_vms) {
                                      callbacks_.on_vms(one_finding("vms", why));
                                  }
                              },
                              [&](const auto& it) {
                                  report(it.call, platform_failed{false, why});
                              }},
                   refused);
    });
}

} // namespace endivelatch
