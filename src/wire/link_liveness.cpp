#include "endivelatch/wire/link_liveness.hpp"

#include <algorithm>
#include <utility>

namespace endivelatch {

link_effects link_liveness::start(time_point now)
{
    backoff_ = settings_.first_backoff;
    last_received_ = now;
    open_candidate(now);
    return take_effects();
}

link_effects link_liveness::connected(connection_number connection, time_point now)
{
    if (auto* it = find(connection)) {
        it->is_connected = true;
        queue_heartbeat(*it, now);
    }
    return take_effects();
}

link_effects link_liveness::closed(connection_number connection, time_point now)
{
    if (candidate_ && candidate_->number == connection) {
        candidate_.reset();
        schedule_retry(now);
    }
    if (active_ && active_->number == connection) {
        active_.reset();
        if (!candidate_ && !retry_at_) {
            open_candidate(now);
        }
    }
    return take_effects();
}

link_effects link_liveness::received(connection_number connection, time_point now)
{
    on_message_received(connection, now);
    return take_effects();
}

link_effects link_liveness::received(connection_number connection, const heartbeat& message,
                                     time_point now)
{
    if (find(connection) == nullptr) {
        return {};
    }
    on_message_received(connection, now);
    if (!message.is_reply) {
        effects_.emplace_back(send_heartbeat{connection, {message.sequence, true}});
    }
    return take_effects();
}

link_effects link_liveness::tick(time_point now)
{
    restart_timeouts_after_pause(now);
    check_active(now);
    check_candidate(now);
    if (!is_lost_ && now - last_received_ >= settings_.lost_timeout) {
        is_lost_ = true;
        effects_.emplace_back(link_lost{});
    }
    return take_effects();
}

time_point link_liveness::next_timer() const
{
    auto out = time_point::max();
    if (active_) {
        out = std::min(out, active_->next_heartbeat);
        if (!candidate_ && !retry_at_) {
            out = std::min(out, active_->last_received + settings_.receive_timeout);
        }
    }
    if (candidate_) {
        out = std::min(out, candidate_->last_received + settings_.connect_timeout);
    }
    if (candidate_ && candidate_->is_connected) {
        out = std::min(out, candidate_->next_heartbeat);
    }
    if (retry_at_) {
        out = std::min(out, *retry_at_);
    }
    if (!is_lost_) {
        out = std::min(out, last_received_ + settings_.lost_timeout);
    }
    return out;
}

std::optional<connection_number> link_liveness::active() const
{
    return active_ ? std::optional{active_->number} : std::nullopt;
}

/// Makes the connection that delivered a message the active one and closes the other one.
void link_liveness::on_message_received(connection_number connection, time_point now)
{
    auto* it = find(connection);
    if (it == nullptr) {
        return;
    }
    it->last_received = now;
    last_received_ = now;
    backoff_ = settings_.first_backoff;
    retry_at_.reset();
    if (candidate_ && candidate_->number == connection) {
        drop_if_open(active_);
        active_ = std::exchange(candidate_, std::nullopt);
        is_lost_ = false;
        effects_.emplace_back(use_connection{connection});
        return;
    }
    drop_if_open(candidate_);
    if (is_lost_) {
        is_lost_ = false;
        effects_.emplace_back(use_connection{connection});
    }
}

void link_liveness::open_candidate(time_point now)
{
    retry_at_.reset();
    last_number_ = last_number_.next();
    candidate_ = connection_state{last_number_, false, now, now};
    effects_.emplace_back(open_connection{last_number_});
}

/// Schedules the next attempt with exponential backoff plus up to 50 % jitter.
void link_liveness::schedule_retry(time_point now)
{
    const auto jitter = static_cast<double>(backoff_.count()) / 2 * random_.fraction();
    retry_at_ = now + backoff_ + duration{static_cast<duration::rep>(jitter)};
    backoff_ = std::min(backoff_ * 2, settings_.max_backoff);
}

void link_liveness::drop_if_open(std::optional<connection_state>& it)
{
    if (it) {
        effects_.emplace_back(drop_connection{it->number});
        it.reset();
    }
}

void link_liveness::queue_heartbeat(connection_state& it, time_point now)
{
    effects_.emplace_back(send_heartbeat{it.number, {++sequence_, false}});
    it.next_heartbeat = now + settings_.heartbeat_interval;
}

void link_liveness::check_active(time_point now)
{
    if (!active_) {
        return;
    }
    if (active_->next_heartbeat <= now) {
        queue_heartbeat(*active_, now);
    }
    if (!candidate_ && !retry_at_ && now - active_->last_received >= settings_.receive_timeout) {
        open_candidate(now);
    }
}

void link_liveness::check_candidate(time_point now)
{
    if (candidate_ && now - candidate_->last_received >= settings_.connect_timeout) {
        drop_if_open(candidate_);
        schedule_retry(now);
    }
    if (candidate_ && candidate_->is_connected && candidate_->next_heartbeat <= now) {
        queue_heartbeat(*candidate_, now);
    }
    if (retry_at_ && *retry_at_ <= now) {
        open_candidate(now);
    }
}

/// Restarts the receive timeouts when a timer fires late by the receive timeout or more: this
/// process was paused, so the silence is no evidence of a failed connection.
void link_liveness::restart_timeouts_after_pause(time_point now)
{
    if (now - next_timer() < settings_.receive_timeout) {
        return;
    }
    last_received_ = now;
    if (active_) {
        active_->last_received = now;
    }
    if (candidate_) {
        candidate_->last_received = now;
    }
}

link_liveness::connection_state* link_liveness::find(connection_number connection)
{
    if (active_ && active_->number == connection) {
        return &*active_;
    }
    return candidate_ && candidate_->number == connection ? &*candidate_ : nullptr;
}

link_effects link_liveness::take_effects()
{
    return std::exchange(effects_, {});
}

} // namespace endivelatch
