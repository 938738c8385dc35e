#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/configuration/configuration_store.hpp"
#include "endivelatch/configuration/object_names.hpp"

#include <algorithm>

/// Startup, timers and platform calls of the configuration store.
namespace endivelatch {

configuration_effects configuration_store::boot(time_point now)
{
    configuration_effects out;
    boot_queried_ = boot_responded_;
    boot_pending_.clear();
    if (!boot_responded_.empty()) {
        query_more_peers(now, out);
        return out;
    }
    boot_stage_ = boot_stage::first_peer;
    advance_boot(now, out);
    return out;
}

bool configuration_store::has_enough_responses() const
{
    const auto wanted = std::min(settings_.boot_peers, peers_.size());
    return wanted > 0 && boot_responded_.size() >= wanted;
}

void configuration_store::advance_boot(time_point now, configuration_effects& out)
{
    if (boot_stage_ == boot_stage::more_peers) {
        if (has_enough_responses()) {
            become_ready(now, out);
            return;
        }
        list_platform_objects(now, out);
        return;
    }
    const auto next = random_peers(1, boot_queried_);
    if (next.empty() || boot_queried_.size() >= settings_.boot_peers) {
        list_platform_objects(now, out);
        return;
    }
    boot_queried_.insert(next.front());
    boot_pending_ = {next.front()};
    boot_deadline_ = now + settings_.boot_timeout;
    send_query(next.front(), out);
}

void configuration_store::on_boot_response(const router_id& from, time_point now,
                                           configuration_effects& out)
{
    if (ready_ || !boot_queried_.contains(from)) {
        return;
    }
    boot_pending_.erase(from);
    boot_responded_.insert(from);
    if (boot_stage_ == boot_stage::first_peer) {
        query_more_peers(now, out);
        return;
    }
    if (has_enough_responses()) {
        become_ready(now, out);
        return;
    }
    if (boot_stage_ == boot_stage::more_peers && boot_pending_.empty()) {
        advance_boot(now, out);
    }
}

void configuration_store::query_more_peers(time_point now, configuration_effects& out)
{
    boot_stage_ = boot_stage::more_peers;
    boot_deadline_ = now + settings_.boot_timeout;
    for (const auto& peer : random_peers(settings_.boot_peers, boot_queried_)) {
        boot_queried_.insert(peer);
        boot_pending_.insert(peer);
        send_query(peer, out);
    }
    if (boot_pending_.empty()) {
        advance_boot(now, out);
    }
}

void configuration_store::become_ready(time_point now, configuration_effects& out)
{
    ready_ = true;
    boot_stage_ = boot_stage::done;
    boot_deadline_ = time_point::max();
    std::vector<std::string> names;
    for (const auto& [name, stored] : objects_) {
        names.push_back(name);
    }
    out.emplace_back(configuration_changed{std::move(names)});
    continue_watch(now, out);
}

void configuration_store::list_platform_objects(time_point now, configuration_effects& out)
{
    if (!ready_) {
        boot_stage_ = boot_stage::platform;
        boot_deadline_ = time_point::max();
    }
    if (pending_call_) {
        return;
    }
    pending_call_ = pending_call{calls_.next(), call_kind::list, now + settings_.call_timeout};
    out.emplace_back(platform_call{list_objects{pending_call_->id, std::string{config_prefix}}});
}

configuration_effects configuration_store::set_watching(bool watching, time_point now)
{
    configuration_effects out;
    watching_ = watching;
    continue_watch(now, out);
    return out;
}

void configuration_store::continue_watch(time_point now, configuration_effects& out)
{
    if (!watching_ || !ready_ || pending_call_ || now < next_call_at_) {
        return;
    }
    if (synced_version_ == object_version{}) {
        list_platform_objects(now, out);
        return;
    }
    pending_call_ = pending_call{calls_.next(), call_kind::watch, now + settings_.watch_timeout};
    out.emplace_back(platform_call{
        watch_objects{pending_call_->id, std::string{config_prefix}, synced_version_}});
}

configuration_effects configuration_store::on_platform_answered(const platform_answer& answer,
                                                                time_point now)
{
    configuration_effects out;
    if (!pending_call_ || pending_call_->id != answer.call) {
        return out;
    }
    const auto kind = pending_call_->kind;
    pending_call_.reset();
    if (const auto* const found = std::get_if<objects_found>(&answer.body)) {
        apply_platform_objects(*found, kind, now, out);
        return out;
    }
    on_call_failed(kind, now, out);
    return out;
}

void configuration_store::apply_platform_objects(const objects_found& found, call_kind kind,
                                                 time_point now, configuration_effects& out)
{
    std::vector<std::string> changed;
    for (const auto& object : found.objects) {
        if (apply_object({object.name, object.version, object.document}, out)) {
            changed.push_back(object.name);
        }
    }
    synced_version_ = std::max(synced_version_, found.store);
    if (boot_stage_ == boot_stage::platform && kind == call_kind::list) {
        become_ready(now, out);
        return;
    }
    if (!changed.empty()) {
        announce(changed, self_, out);
        out.emplace_back(configuration_changed{std::move(changed)});
    }
    continue_watch(now, out);
}

void configuration_store::on_call_failed(call_kind kind, time_point now, configuration_effects& out)
{
    const auto jitter =
        std::chrono::duration_cast<duration>(settings_.retry_delay * random_.fraction());
    next_call_at_ = now + settings_.retry_delay + jitter;
    if (boot_stage_ != boot_stage::platform || kind != call_kind::list) {
        return;
    }
    if (has_enough_responses()) {
        become_ready(now, out);
        return;
    }
    boot_deadline_ = next_call_at_;
    boot_stage_ = boot_stage::idle;
}

configuration_effects configuration_store::tick(time_point now)
{
    configuration_effects out;
    if (pending_call_ && now >= pending_call_->timeout) {
        const auto kind = pending_call_->kind;
        pending_call_.reset();
        on_call_failed(kind, now, out);
    }
    if (!ready_ && now >= boot_deadline_) {
        if (boot_stage_ == boot_stage::idle) {
            return boot(now);
        }
        advance_boot(now, out);
    }
    continue_watch(now, out);
    for (auto it = pending_pushes_.begin(); it != pending_pushes_.end();) {
        if (it->second.pushes >= settings_.max_pushes || peers_.empty()) {
            it = pending_pushes_.erase(it);
            continue;
        }
        if (now >= it->second.next_push_at) {
            push(it->first, it->second, now, out);
        }
        ++it;
    }
    return out;
}

time_point configuration_store::next_timer() const
{
    auto out = ready_ ? time_point::max() : boot_deadline_;
    if (pending_call_) {
        out = std::min(out, pending_call_->timeout);
    }
    if (watching_ && ready_ && !pending_call_) {
        out = std::min(out, next_call_at_);
    }
    for (const auto& [name, pending] : pending_pushes_) {
        out = std::min(out, pending.next_push_at);
    }
    return out;
}

} // namespace endivelatch
