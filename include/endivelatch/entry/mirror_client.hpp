#pragma once

#include "endivelatch/base/log_event.hpp"
#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/entry/call_client.hpp"
#include "endivelatch/entry/copy_query.hpp"
#include "endivelatch/entry/fleet_view.hpp"
#include "endivelatch/entry/protocol.hpp"
#include "endivelatch/entry/watchers.hpp"
#include "endivelatch/mirror/object_mirror.hpp"
#include "endivelatch/net/timer.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endivelatch {

/// Callbacks of a mirror client. All must be set.
struct mirror_client_callbacks {
    std::function<void()> on_updated;
    /// The store stated an era in an answer, or another router in a query.
    std::function<void(store_era)> on_era;
    /// The store, or a router that is followed, has confirmed the copy or failed to.
    std::function<void()> on_checked;
    std::function<std::vector<endpoint>()> peers; ///< Returns the other live routers.
    std::function<copy_sources()> sources;        ///< Returns from which routers to get copies.
    /// Returns whether the discovery of other routers is in progress, so that the sources are not
    /// known yet.
    std::function<bool()> is_joining;
    std::function<void(log_event&&)> on_log;
};

/// Maintains a copy of the platform's objects of one kind. Reads it from the store or from the
/// routers that it follows (`reader_role`) and, while neither confirms it, from any other router.
template <entry_protocol Protocol>
class mirror_client {
public:
    mirror_client(event_loop& loop, call_client& calls, object_kind kind, const endpoint& store,
                  const mirror_settings& settings, std::uint64_t seed,
                  mirror_client_callbacks callbacks)
        : loop_{&loop}, calls_{&calls}, kind_{kind}, store_{store}, mirror_{settings, seed},
          callbacks_{std::move(callbacks)}, timer_{loop, [this] { apply(mirror_.tick(now())); }},
          peer_timer_{loop, [this] { on_peer_timer(); }}, lead_timer_{loop,
                                                                      [this] { on_lead_timer(); }},
          join_timer_{loop, [this] { on_join_timer(); }}, random_{seed}, probes_{seed + 1}
    {
    }

    /// Starts reading from the store.
    void start() { apply(mirror_.start(now())); }

    /// Returns the local copy.
    const object_mirror& mirror() const { return mirror_; }

    /// Reads all objects again, for example after the process was not scheduled for a while.
    void refresh()
    {
        delayed_watch_.reset();
        cancel_call();
        apply(mirror_.start(now()));
    }

    /// Called when the store's era has become known, from any answer of the store or another
    /// router. Reads all objects again if the copy is of an earlier era.
    void on_era(store_era era)
    {
        if (!begin_era(era) || !watches_store_ || !mirror_.is_connected()) {
            return; // The followed router, or the next call, brings the copy of this era.
        }
        cancel_call();
        apply(mirror_.read_era(now()));
    }

    /// Called when a peer announced a newer copy. Reads the copy from the peer, unless the store
    /// delivers it soon.
    void on_newer_copy(const endpoint& peer, store_position position)
    {
        if (position <= mirror_.position() || !mirror_.is_connected()) {
            return; // While the store is unavailable, peers are queried continuously.
        }
        newer_copy_peer_ = peer;
        newer_copy_position_ = position;
        if (!peer_timer_.is_active()) {
            peer_timer_.start(peer_delay());
        }
    }

    /// Returns whether other routers may follow this one.
    bool may_be_followed() const
    {
        return watches_store_ || role_ == reader_role::lead || role_ == reader_role::relay ||
               (confirmed_at_ && now() - *confirmed_at_ < limits().relay);
    }

    /// Returns when the store last confirmed the copy, as far as this router knows; nothing before
    /// its first list. A later change has not been missed unless it came after this time.
    std::optional<time_point> confirmed_at() const { return confirmed_at_; }

    /// Queries a peer if there is no copy yet, as at a start during an outage of the store. Renews
    /// the long watch of a router that others follow from now on, as it confirms nothing to them.
    void on_peers_changed()
    {
        if (!mirror_.is_synced()) {
            query_any_peer();
            return;
        }
        if (!call_ || !watches_store_ || role_ == reader_role::lead) {
            return;
        }
        const auto role = callbacks_.sources().role;
        const bool becomes_relay = role == reader_role::relay && role_ != reader_role::relay;
        if (role == reader_role::lead || becomes_relay) {
            cancel_call();
            watch({mirror_.position(), limits().interval});
        }
    }

    /// Returns the maximum time that a query of another router waits for a newer copy.
    static duration wait_of(const copy_query& query)
    {
        if (query.wait) {
            return *query.wait;
        }
        const bool is_rare = query.kind == object_kind::evacuations && query.from_watcher;
        return is_rare ? evacuations_follow_wait : peer_wait;
    }

    /// Returns the answer to a copy query of another router. A copy is small if it has at most
    /// `max_small_size` bytes.
    copy_answer answer(const copy_query& query, std::size_t max_small_size) const
    {
        const auto changes =
            query.accepts_changes ? mirror_.changes_since(query.newer_than) : std::nullopt;
        const auto size = changes ? content_size(*changes) : content_size(mirror_.objects());
        if (query.small_only && size > max_small_size) {
            return {copy_answer::too_large, {}};
        }
        if (changes) {
            return {copy_answer::changes, Protocol::write_changes(*changes)};
        }
        object_page page;
        page.position = mirror_.position();
        for (const auto& [name, object] : mirror_.objects()) {
            page.objects.push_back(object);
        }
        return {copy_answer::whole, Protocol::write_page(page)};
    }

    /// Timeout of a list call; a healthy store answers within milliseconds.
    static constexpr duration list_timeout{1'500'000};
    /// Added to the wait time of a watch, or of a query to any peer, for its timeout.
    static constexpr duration watch_timeout_margin{800'000};
    /// Time for the watch to deliver a change of the configuration that a peer already holds.
    static constexpr duration configuration_peer_delay{400'000};
    /// The same for targets, which change often: twice the longest pause after a change. Removals
    /// of targets must be known within 3 s.
    static constexpr duration targets_peer_delay{800'000};
    /// Maximum time that a peer waits for a newer copy before it answers; then another peer is
    /// queried.
    static constexpr duration peer_wait{700'000};
    /// The same for followers of evacuations, which are rare: each query costs both routers
    /// processor time.
    static constexpr duration evacuations_follow_wait{2'000'000};
    /// Added to the wait for the timeout of a query to a source, if no limit comes before.
    static constexpr duration follow_timeout_margin{300'000};
    /// Time for which a source may hold back its answer beyond the interval of confirmations.
    static constexpr duration confirmation_margin{200'000};
    /// Timeout of a query to a source that answers without waiting.
    static constexpr duration urgent_timeout{100'000};
    /// Shortest wait of the lead's watches.
    static constexpr duration min_lead_wait{100'000};
    /// Wait of a watch that only checks whether the store has changes.
    static constexpr duration check_wait{1'000};
    /// A source whose connection fails within this time has ended; a slower failure may come from
    /// this router's own link.
    static constexpr duration quick_failure_time{200'000};
    /// Delays before the next query after a peer failed to answer, and after it had no newer copy.
    static constexpr duration peer_retry_delay{200'000};
    static constexpr duration peer_poll_delay{50'000};
    /// Interval between checks whether the discovery of other routers has ended.
    static constexpr duration join_check_interval{50'000};

private:
    time_point now() const { return loop_->now(); }

    void apply(mirror_effects&& effects)
    {
        for (auto& effect : effects) {
            std::visit(overloaded{[this](list_objects& e) { list(e); },
                                  [this](watch_objects& e) { watch(e); },
                                  [this](mirror_updated&) {
                                      ++updates_;
                                      callbacks_.on_updated();
                                  }},
                       effect);
        }
        if (const auto next = mirror_.next_timer()) {
            timer_.start_for(*next, min_timer_delay);
        }
    }

    void list(const list_objects& e)
    {
        send(Protocol::list_call(kind_, e), list_timeout,
             [this, is_proof = !e.allows_stale](const std::string& body) {
                 auto page = Protocol::read_page(body);
                 const bool is_last = has_value(page) && !value_of(page).has_more;
                 auto effects = update_mirror(std::move(page));
                 if (is_last && is_proof) {
                     confirm_by_store(now());
                 }
                 return effects;
             });
    }

    void watch(const watch_objects& e)
    {
        if (mirror_.is_connected() && callbacks_.is_joining()) {
            delayed_watch_ = e;
            join_timer_.start(join_check_interval);
            return;
        }
        auto sources = callbacks_.sources();
        role_ = sources.role;
        if (role_ == reader_role::watcher) {
            watch_store(e.wait);
            return;
        }
        if (role_ == reader_role::lead) {
            // The pause after a change counts towards the interval.
            const auto age = confirmed_at_ ? now() - *confirmed_at_ : duration{};
            const auto wait = std::max(limits().interval - age, min_lead_wait);
            watch_store(std::min(e.wait, wait));
            return;
        }
        if (role_ == reader_role::relay) {
            watch_store(e.wait);
            if (!lead_call_) {
                ask_lead(sources.followed.back());
            }
            return;
        }
        following round;
        round.watch_wait = e.wait;
        round.sources = std::move(sources.followed);
        round.fallbacks = std::move(sources.fallbacks);
        round.may_read_alone = sources.may_read_alone;
        round.ends_at = mirror_.is_connected() && confirmed_at_
                            ? std::max(*confirmed_at_ + limit_of(role_), now() + urgent_timeout)
                            : now() + limits().interval + follow_timeout_margin;
        follow(std::move(round));
    }

    void on_join_timer()
    {
        if (const auto e = std::exchange(delayed_watch_, std::nullopt)) {
            watch({mirror_.position(), e->wait});
        }
    }

    /// A search for a source that confirms the copy.
    struct following {
        std::vector<endpoint> sources; ///< Not yet asked, the preferred one last.
        std::vector<endpoint> fallbacks;
        time_point ends_at{};
        duration watch_wait{}; ///< Of a watch of the store if no router reads it.
        bool may_read_alone = false;
        bool is_urgent = false;  ///< The limit has passed, so that sources must not wait.
        bool has_answer = false; ///< A source has answered.
        bool has_lost = false;   ///< A source answered that it does not reach the store.
    };

    // Sources of the copy and its confirmation, in mirror_client_sources.hpp.
    void ask_lead(const endpoint& lead);
    void handle_lead_answer(const call_outcome& outcome, store_position since, time_point asked_at);
    void on_lead_timer();
    void follow(following&& round);
    void handle_source_answer(const call_outcome& outcome, store_position since,
                              time_point asked_at, following&& round);
    void leave_sources(following&& round);
    void log_unconfirmed(const following& round);
    bool may_read_store(const following& round);
    void confirm_by_store(time_point at);
    void confirm(time_point at);
    duration limit_of(reader_role role) const;

    const confirmation_limits& limits() const
    {
        return kind_ == object_kind::evacuations ? evacuation_confirmation_limits
                                                 : default_confirmation_limits;
    }

    /// Applies a copy, or the changes in it since a revision, received from another router. Returns
    /// whether the answer was valid.
    bool apply_copy(const call_reply& reply, store_position since)
    {
        const auto era = read_copy_era(reply.headers);
        if (reply.status == copy_answer::changes) {
            auto changes = Protocol::read_changes(reply.body);
            if (!has_value(changes)) {
                log("copy_not_read", to_string(findings_of(changes)));
                return false;
            }
            auto& newer = std::get<object_changes>(changes);
            newer.position.era = era;
            apply(mirror_.merge_peer_copy(std::move(newer), since, now()));
            return true;
        }
        if (reply.status != copy_answer::whole) {
            return false;
        }
        auto page = Protocol::read_page(reply.body);
        if (!has_value(page)) {
            log("copy_not_read", to_string(findings_of(page)));
            return false;
        }
        auto& copy = std::get<object_page>(page);
        copy.position.era = era;
        apply(mirror_.merge_peer_copy(std::move(copy), now()));
        return true;
    }

    /// Returns the time that a watch has to deliver a change that a peer already holds.
    duration peer_delay() const
    {
        return kind_ == object_kind::targets ? targets_peer_delay : configuration_peer_delay;
    }

    void watch_store(duration wait)
    {
        watches_store_ = true;
        watch_started_at_ = now();
        mirror_.begin_watch(wait, now());
        send(Protocol::watch_call(kind_, mirror_.position().revision, wait),
             wait + watch_timeout_margin, [this, wait](const std::string& body) {
                 probes_.record_call(true);
                 auto changes = Protocol::read_changes(body);
                 if (!has_value(changes)) {
                     return update_mirror(std::move(changes));
                 }
                 // Without changes the store answers at the end of the wait; what comes later was
                 // delayed on the way.
                 const bool is_empty = value_of(changes).changes.empty();
                 auto effects = update_mirror(std::move(changes));
                 confirm_by_store(is_empty ? std::min(now(), watch_started_at_ + wait) : now());
                 return effects;
             });
    }

    template <class Handler>
    void send(const store_call& call, duration timeout, Handler handle_body)
    {
        call_ = calls_->call({store_, call.method, call.target, call.body, timeout},
                             [this, handle_body](call_outcome&& outcome) {
                                 call_.reset();
                                 if (const auto* failure = std::get_if<call_failed>(&outcome)) {
                                     report_failure(failure->reason);
                                     return;
                                 }
                                 handle_store_reply(std::get<call_reply>(outcome), handle_body);
                             });
    }

    template <class Handler>
    void handle_store_reply(const call_reply& reply, Handler handle_body)
    {
        const auto era = Protocol::read_store_era(reply.headers);
        begin_era(era);
        callbacks_.on_era(era); // For the copies of the other kinds.
        if (era != store_era{} && era < mirror_.era()) {
            report_failure("an answer of era " + std::to_string(era.value()) + " while era " +
                           std::to_string(mirror_.era().value()) + " is known");
        }
        else if (reply.status == history_gone_status) {
            log("store_history_gone", "");
            apply(mirror_.handle_history_expired(now()));
        }
        else if (reply.status == kind_absent_status && mirror_.may_be_absent()) {
            report_success();
            apply(mirror_.handle_kind_absent(now()));
            confirm_by_store(now());
        }
        else if (reply.status != store_ok_status) {
            report_failure("status " + std::to_string(reply.status));
        }
        else {
            report_success();
            apply(handle_body(reply.body));
        }
    }

    /// Passes a page or changes of the store to the mirror. An answer without an era counts as one
    /// of the known era.
    template <class T>
    mirror_effects update_mirror(result<T>&& read)
    {
        if (!has_value(read)) {
            report_failure(to_string(findings_of(read)));
            return {};
        }
        auto& answer = std::get<T>(read);
        answer.position.era = mirror_.era();
        return mirror_.handle_response(std::move(answer), now());
    }

    /// Records the store's era. Returns whether the copy has become outdated.
    bool begin_era(store_era era)
    {
        const auto former = mirror_.era();
        if (!mirror_.begin_era(era, now())) {
            return false;
        }
        log("store_era_began",
            "era " + std::to_string(era.value()) + " after " + std::to_string(former.value()));
        return true;
    }

    void cancel_call()
    {
        if (call_) {
            calls_->cancel(*call_);
            call_.reset();
        }
    }

    void report_failure(const std::string& reason)
    {
        probes_.record_call(false);
        if (mirror_.is_connected() || !has_logged_loss_) {
            has_logged_loss_ = true;
            log("store_lost", reason);
        }
        apply(mirror_.handle_call_failure(now()));
        callbacks_.on_checked();
        query_any_peer();
    }

    /// Called after each successful call, of the store or of a router that is followed.
    void report_success()
    {
        if (std::exchange(has_logged_loss_, false)) {
            log("store_regained", "");
        }
    }

    void on_peer_timer()
    {
        if (!mirror_.is_connected()) {
            query_any_peer();
        }
        else if (newer_copy_position_ > mirror_.position()) {
            query_peer(newer_copy_peer_);
        }
    }

    /// Queries a random live router for a newer copy while the store is unavailable.
    void query_any_peer()
    {
        if (mirror_.is_connected() || is_querying_peer_) {
            return;
        }
        const auto peers = callbacks_.peers();
        if (peers.empty()) {
            peer_timer_.start(peer_retry_delay);
            return;
        }
        query_peer(peers[random_.below(peers.size())]);
    }

    void query_peer(const endpoint& peer)
    {
        if (is_querying_peer_) {
            return;
        }
        is_querying_peer_ = true;
        // A newer copy shows a stalled watch only if the store was connected at the time of the
        // query.
        const bool was_connected = mirror_.is_connected();
        const copy_query query{kind_, mirror_.position(), false, mirror_.is_exact(), was_connected};
        calls_->call({peer,
                      "GET",
                      write_copy_query(query),
                      {},
                      peer_wait + watch_timeout_margin,
                      write_copy_headers(query)},
                     [this, peer, since = query.newer_than, was_connected](call_outcome&& outcome) {
                         is_querying_peer_ = false;
                         handle_peer_answer(peer, outcome, since, was_connected);
                     });
    }

    void handle_peer_answer(const endpoint& peer, const call_outcome& outcome, store_position since,
                            bool was_connected)
    {
        const auto* reply = std::get_if<call_reply>(&outcome);
        if (reply != nullptr && reply->status == copy_answer::nothing_newer) {
            // A peer that has also lost the store answers at once, hence the delay.
            peer_timer_.start(peer_poll_delay);
            return;
        }
        if (reply != nullptr && reply->status == copy_answer::too_large) {
            read_from_store();
            return;
        }
        const auto previous_updates = updates_;
        if (reply == nullptr || !apply_copy(*reply, since)) {
            log("copy_not_read", peer.address);
            peer_timer_.start(peer_retry_delay);
            return;
        }
        log("copy_read", peer.address);
        // A copy may be newer only by changes of other kinds, which a watch does not report.
        if (was_connected && updates_ > previous_updates) {
            restart_watch();
            return;
        }
        query_any_peer();
    }

    /// Reads from the store a copy that a peer holds but is too large to send. A follower does not
    /// wait for its watcher, which may lag behind.
    void read_from_store()
    {
        if (!call_) {
            peer_timer_.start(peer_retry_delay); // Between two watches; the peer is queried again.
            return;
        }
        if (watches_store_ || !mirror_.is_connected()) {
            restart_watch();
            return;
        }
        cancel_call();
        watch_store(peer_wait);
    }

    /// Cancels the watch, which has not delivered a change that a peer already holds and may have
    /// stalled, unless it has just begun.
    void restart_watch()
    {
        if (!watches_store_ && mirror_.is_connected()) {
            return; // The followed router lags behind, not the store.
        }
        if (mirror_.is_connected() && call_ && now() - watch_started_at_ < peer_delay()) {
            peer_timer_.start(peer_delay());
            return;
        }
        if (mirror_.is_connected() && call_) {
            cancel_call();
            report_failure("a router holds a newer copy");
            return;
        }
        query_any_peer();
    }

    void log(std::string name, std::string_view reason)
    {
        callbacks_.on_log(log_event{std::move(name)}
                              .add("kind", to_string(kind_))
                              .add("revision", to_string(mirror_.position()))
                              .add("reason", reason));
    }

    /// Returns the total size of names and contents, which approximates their encoded size.
    static std::size_t content_size(const object_changes& changes)
    {
        std::size_t size = 0;
        for (const auto& change : changes.changes) {
            size += change.object.name.size() + change.object.content.size();
        }
        return size;
    }

    static std::size_t content_size(const std::map<std::string, mirrored_object>& objects)
    {
        std::size_t size = 0;
        for (const auto& [name, object] : objects) {
            size += name.size() + object.content.size();
        }
        return size;
    }

    static constexpr int store_ok_status = 200;
    static constexpr int history_gone_status = 410;
    static constexpr int kind_absent_status = 404;
    static constexpr duration min_timer_delay{1'000};

    event_loop* loop_;
    call_client* calls_;
    object_kind kind_;
    endpoint store_;
    object_mirror mirror_;
    mirror_client_callbacks callbacks_;
    std::optional<outgoing_id> call_;
    std::optional<outgoing_id> lead_call_; ///< Of a relay, besides its watch.
    endpoint newer_copy_peer_;             ///< Announced a newer copy.
    store_position newer_copy_position_;
    bool is_querying_peer_ = false;
    bool watches_store_ = false;
    reader_role role_ = reader_role::watcher; ///< At the last watch.
    std::optional<time_point> confirmed_at_;
    time_point watch_started_at_{};
    std::uint64_t updates_ = 0; ///< Number of changes of the copy's objects.
    bool has_logged_loss_ = false;
    timer timer_;
    timer peer_timer_;
    timer lead_timer_;
    timer join_timer_;
    std::optional<watch_objects> delayed_watch_; ///< Waits for the discovery of other routers.
    random_source random_;
    store_probes probes_;
};

} // namespace endivelatch

#include "endivelatch/entry/mirror_client_sources.hpp"
