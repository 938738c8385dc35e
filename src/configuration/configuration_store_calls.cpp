#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/configuration/configuration_store.hpp"
#include "endivelatch/configuration/object_names.hpp"

#include <algorithm>

/// Boot, timers and platform calls of the configuration store.
namespace endivelatch {

configuration_effects configuration_store::boot(time_point now)
{
    configuration_effects out;
    boot_asked_ = boot_answered_;
    boot_pending_.clear();
    if (!boot_answered_.empty()) {
        ask_more_peers(now, out);
        return out;
    }
    boot_ = boot_stage::first_peer;
    boot_timed_out(now, out);
    return out;
}

bool configuration_store::has_enough_answers() const
{
    const auto wanted = std::min(settings_.boot_peers, peers_.size());
    return wanted > 0 && boot_answered_.size() >= wanted;
}

void configuration_store::boot_timed_out(time_point now, configuration_effects& out)
{
    if (boot_ == boot_stage::more_peers) {
        if (has_enough_answers()) {
            become_ready(now, out);
            return;
        }
        list_platform(now, out);
        return;
    }
    const auto next = some_peers(1, boot_asked_);
    if (next.empty() || boot_asked_.size() >= settings_.boot_peers) {
        list_platform(now, out);
        return;
    }
    boot_asked_.insert(next.front());
    boot_pending_ = {next.front()};
    boot_deadline_ = now + settings_.boot_wait;
    ask(next.front(), out);
}

void configuration_store::boot_answered(const router_id& from, time_point now,
                                        configuration_effects& out)
{
    if (ready_ || !boot_asked_.contains(from)) {
        return;
    }
    boot_pending_.erase(from);
    boot_answered_.insert(from);
    if (boot_ == boot_stage::first_peer) {
        ask_more_peers(now, out);
        return;
    }
    if (has_enough_answers()) {
        become_ready(now, out);
        return;
    }
    if (boot_ == boot_stage::more_peers && boot_pending_.empty()) {
        boot_timed_out(now, out);
    }
}

void configuration_store::ask_more_peers(time_point now, configuration_effects& out)
{
    boot_ = boot_stage::more_peers;
    boot_deadline_ = now + settings_.boot_wait;
    for (const auto& it : some_peers(settings_.boot_peers, boot_asked_)) {
        boot_asked_.insert(it);
        boot_pending_.insert(it);
        ask(it, out);
    }
    if (boot_pending_.empty()) {
        boot_timed_out(now, out);
    }
}

void configuration_store::become_ready(time_point now, configuration_effects& out)
{
    ready_ = true;
    boot_ = boot_stage::done;
    boot_deadline_ = time_point::max();
    std::vector<std::string> names;
    for (const auto& [name, it] : objects_) {
        names.push_back(name);
    }
    out.emplace_back(configuration_changed{std::move(names)});
    continue_watch(now, out);
}

void configuration_store::list_platform(time_point now, configuration_effects& out)
{
    if (!ready_) {
        boot_ = boot_stage::platform;
        boot_deadline_ = time_point::max();
    }
    if (call_) {
        return;
    }
    call_ = call_state{calls_.next(), call_kind::list, now + settings_.call_timeout};
    out.emplace_back(platform_call{list_objects{call_->id, std::string{config_prefix}}});
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
    if (!watching_ || !ready_ || call_ || now < next_call_) {
        return;
    }
    if (synced_ == object_version{}) {
        list_platform(now, out);
        return;
    }
    call_ = call_state{calls_.next(), call_kind::watch, now + settings_.watch_timeout};
    out.emplace_back(platform_call{watch_objects{call_->id, std::string{config_prefix}, synced_}});
}

configuration_effects configuration_store::on_platform_answered(const platform_answer& answer,
                                                                time_point now)
{
    configuration_effects out;
    if (!call_ || call_->id != answer.call) {
        return out;
    }
    const auto kind = call_->kind;
    call_.reset();
    if (const auto* const found = std::get_if<objects_found>(&answer.body)) {
        take_objects(*found, kind, now, out);
        return out;
    }
    call_failed(kind, now, out);
    return out;
}

void configuration_store::take_objects(const objects_found& found, call_kind kind, time_point now,
                                       configuration_effects& out)
{
    std::vector<std::string> changed;
    for (const auto& it : found.objects) {
        if (adopt({it.name, it.version, it.document}, out)) {
            changed.push_back(it.name);
        }
    }
    synced_ = std::max(synced_, found.store);
    if (boot_ == boot_stage::platform && kind == call_kind::list) {
        become_ready(now, out);
        return;
    }
    if (!changed.empty()) {
        announce(changed, self_, out);
        out.emplace_back(configuration_changed{std::move(changed)});
    }
    continue_watch(now, out);
}

void configuration_store::call_failed(call_kind kind, time_point now, configuration_effects& out)
{
    const auto jitter =
        std::chrono::duration_cast<duration>(settings_.retry_delay * random_.fraction());
    next_call_ = now + settings_.retry_delay + jitter;
    if (boot_ != boot_stage::platform || kind != call_kind::list) {
        return;
    }
    if (has_enough_answers()) {
        become_ready(now, out);
        return;
    }
    boot_deadline_ = next_call_;
    boot_ = boot_stage::idle;
}

configuration_effects configuration_store::tick(time_point now)
{
    configuration_effects out;
    if (call_ && now >= call_->timeout) {
        const auto kind = call_->kind;
        call_.reset();
        call_failed(kind, now, out);
    }
    if (!ready_ && now >= boot_deadline_) {
        if (boot_ == boot_stage::idle) {
            return boot(now);
        }
        boot_timed_out(now, out);
    }
    continue_watch(now, out);
    for (auto it = awaited_.begin(); it != awaited_.end();) {
        if (it->second.rounds >= settings_.push_rounds || peers_.empty()) {
            it = awaited_.erase(it);
            continue;
        }
        if (now >= it->second.repeat_at) {
            push(it->first, it->second, now, out);
        }
        ++it;
    }
    return out;
}

time_point configuration_store::next_timer() const
{
    auto out = ready_ ? time_point::max() : boot_deadline_;
    if (call_) {
        out = std::min(out, call_->timeout);
    }
    if (watching_ && ready_ && !call_) {
        out = std::min(out, next_call_);
    }
    for (const auto& [name, it] : awaited_) {
        out = std::min(out, it.repeat_at);
    }
    return out;
}

} // namespace endivelatch
