#pragma once

#include "endivelatch/entry/mirror_client.hpp"

/// Members of mirror_client for the routers that it follows and the confirmation of its copy.

namespace endivelatch {

/// Asks the lead to confirm this relay's copy, in addition to the relay's own long watch, which
/// delivers changes but proves nothing while it waits.
template <entry_protocol Protocol>
void mirror_client<Protocol>::ask_lead(const endpoint& lead)
{
    const auto wait = limits().interval + confirmation_margin;
    const auto due = confirmed_at_ ? *confirmed_at_ + limits().relay : now() + limits().relay;
    const auto left = std::max(due - now(), urgent_timeout);
    const copy_query query{kind_, mirror_.position(), true, mirror_.is_exact(), true, wait};
    lead_call_ =
        calls_->call({lead, "GET", write_copy_query(query), {}, left, write_copy_headers(query)},
                     [this, since = query.newer_than, asked_at = now()](call_outcome&& outcome) {
                         lead_call_.reset();
                         handle_lead_answer(outcome, since, asked_at);
                     });
}

template <entry_protocol Protocol>
void mirror_client<Protocol>::handle_lead_answer(const call_outcome& outcome, store_position since,
                                                 time_point asked_at)
{
    const auto* reply = std::get_if<call_reply>(&outcome);
    const auto confirmation = reply == nullptr ? std::nullopt : read_confirmation(reply->headers);
    const bool is_up_to_date =
        confirmation && (reply->status == copy_answer::nothing_newer ||
                         (apply_copy(*reply, since) && mirror_.position() > since));
    const bool is_confirmed = is_up_to_date && now() - (asked_at + *confirmation) < limits().relay;
    if (is_confirmed) {
        confirm(asked_at + *confirmation);
    }
    const auto left = confirmed_at_.value_or(time_point{}) + limits().relay - now();
    lead_timer_.start(is_confirmed ? min_timer_delay : std::max(left, urgent_timeout));
}

/// Asks the lead again or, if the copy was not confirmed in time, the store itself.
template <entry_protocol Protocol>
void mirror_client<Protocol>::on_lead_timer()
{
    const auto sources = callbacks_.sources();
    if (sources.role != reader_role::relay || !mirror_.is_connected() || lead_call_) {
        return; // The next watch asks the lead if this router is a relay then.
    }
    const bool is_late = !confirmed_at_ || now() - *confirmed_at_ >= limits().relay;
    if (is_late && watches_store_ && call_) {
        log_unconfirmed({});
        cancel_call();
        watch_store(check_wait);
        return;
    }
    ask_lead(sources.followed.back());
}

/// Queries the last of the sources for a newer copy or a confirmation. If it answers that it
/// does not reach the store or cannot be followed, or fails, the next one is queried.
template <entry_protocol Protocol>
void mirror_client<Protocol>::follow(following&& round)
{
    if (round.sources.empty() || now() >= round.ends_at) {
        leave_sources(std::move(round));
        return;
    }
    watches_store_ = false;
    const auto source = round.sources.back();
    round.sources.pop_back();
    const auto wait = round.is_urgent ? duration{} : limits().interval + confirmation_margin;
    const auto longest = round.is_urgent ? urgent_timeout : wait + follow_timeout_margin;
    const auto timeout = std::min(longest, round.ends_at - now());
    const copy_query query{kind_, mirror_.position(), true, mirror_.is_exact(), true, wait};
    call_ = calls_->call(
        {source, "GET", write_copy_query(query), {}, timeout, write_copy_headers(query)},
        [this, since = query.newer_than, asked_at = now(),
         round = std::move(round)](call_outcome&& outcome) mutable {
            call_.reset();
            handle_source_answer(outcome, since, asked_at, std::move(round));
        });
}

template <entry_protocol Protocol>
void mirror_client<Protocol>::handle_source_answer(const call_outcome& outcome,
                                                   store_position since, time_point asked_at,
                                                   following&& round)
{
    const auto* reply = std::get_if<call_reply>(&outcome);
    const bool is_gone = reply == nullptr && now() - asked_at < quick_failure_time;
    round.has_answer = round.has_answer || reply != nullptr || is_gone;
    if (reply == nullptr || reply->status == copy_answer::not_watching) {
        follow(std::move(round));
        return;
    }
    if (reply->status == copy_answer::store_lost) {
        round.has_lost = true;
        follow(std::move(round));
        return;
    }
    const bool is_unchanged = reply->status == copy_answer::nothing_newer;
    if (!is_unchanged && (!apply_copy(*reply, since) || mirror_.position() <= since)) {
        watch_store(limits().interval); // The copy is too large to send, or of no use.
        return;
    }
    // Routers of earlier versions state no confirmation.
    const auto confirmation = read_confirmation(reply->headers);
    const auto at = confirmation ? asked_at + *confirmation : now();
    if (now() - at >= limits().last) {
        round.has_lost = true;
        follow(std::move(round));
        return;
    }
    probes_.reset();
    report_success();
    confirm(at);
    apply(mirror_.handle_confirmation(now()));
}

/// Called when no source has confirmed the copy in time, or none can be followed.
template <entry_protocol Protocol>
void mirror_client<Protocol>::leave_sources(following&& round)
{
    const bool is_late = now() >= round.ends_at;
    log_unconfirmed(round);
    if (role_ == reader_role::follower && !round.is_urgent && !round.fallbacks.empty() &&
        (is_late || round.has_lost)) {
        round.is_urgent = true;
        round.sources = std::move(round.fallbacks);
        const auto limit = confirmed_at_.value_or(time_point{}) + limits().last;
        round.ends_at = std::max(limit, now() + urgent_timeout);
        follow(std::move(round));
        return;
    }
    // A router that is merely late checks once and follows on, as its source may be back.
    if (is_late && may_read_store(round)) {
        watch_store(check_wait);
        return;
    }
    if (!is_late && !round.has_lost) {
        watch_store(round.watch_wait); // The sources have other tasks by now, or ended.
        return;
    }
    if (may_read_store(round)) {
        watch_store(limits().interval);
        return;
    }
    report_failure("no router confirms the copy");
}

template <entry_protocol Protocol>
void mirror_client<Protocol>::log_unconfirmed(const following& round)
{
    const auto age = confirmed_at_ ? now() - *confirmed_at_ : duration{};
    callbacks_.on_log(log_event{"copy_unconfirmed"}
                          .add("kind", to_string(kind_))
                          .add("role", to_string(role_))
                          .add("age_ms", age.count() / 1'000)
                          .add("answered", round.has_answer ? 1 : 0)
                          .add("store_lost", round.has_lost ? 1 : 0));
}

/// Returns whether to call the store after a search without result. During an outage, followers
/// and standbys call it seldom.
template <entry_protocol Protocol>
bool mirror_client<Protocol>::may_read_store(const following& round)
{
    if (!round.has_answer) {
        return true; // If no router answers, this router's own links may be the reason.
    }
    const bool may_act = round.may_read_alone || role_ == reader_role::standby;
    return (may_act && mirror_.is_connected()) || probes_.is_due(callbacks_.peers().size(), now());
}

/// Called after an answer of the store was applied. It proves nothing if the copy still lacks a
/// part of it.
template <entry_protocol Protocol>
void mirror_client<Protocol>::confirm_by_store(time_point at)
{
    if (mirror_.is_exact() && mirror_.is_connected()) {
        confirm(at);
    }
}

/// Records that the store has confirmed the copy.
template <entry_protocol Protocol>
void mirror_client<Protocol>::confirm(time_point at)
{
    if (!confirmed_at_ || at > *confirmed_at_) {
        confirmed_at_ = at;
        callbacks_.on_checked();
    }
}

template <entry_protocol Protocol>
duration mirror_client<Protocol>::limit_of(reader_role role) const
{
    switch (role) {
    case reader_role::relay:
        return limits().relay;
    case reader_role::standby:
        return limits().standby;
    case reader_role::follower:
    case reader_role::watcher:
    case reader_role::lead:
        break;
    }
    return limits().follower;
}

} // namespace endivelatch
