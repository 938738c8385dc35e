#pragma once

#include "endivelatch/base/log_event.hpp"
#include "endivelatch/base/overloaded.hpp"
#include "endivelatch/entry/call_client.hpp"
#include "endivelatch/entry/copy_query.hpp"
#include "endivelatch/entry/protocol.hpp"
#include "endivelatch/mirror/object_mirror.hpp"
#include "endivelatch/net/timer.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endivelatch {

/// What a mirror client reports. All must be set.
struct mirror_client_callbacks {
    std::function<void()> on_updated;
    std::function<std::vector<endpoint>()> peers; ///< Addresses of the other live routers.
    /// Addresses of the routers that watch the store, the best last; none when this one has to.
    std::function<std::vector<endpoint>()> watchers_to_follow;
    /// Whether other routers are still being looked for, so that it is unknown who watches.
    std::function<bool()> is_joining;
    std::function<void(log_event&&)> on_log;
};

/// Keeps a copy of the platform's objects of one kind, from the store and, while that does not
/// answer, from other routers.
template <entry_protocol Protocol>
class mirror_client {
public:
    mirror_client(event_loop& loop, call_client& calls, object_kind kind, const endpoint& store,
                  const mirror_settings& settings, std::uint64_t seed,
                  mirror_client_callbacks callbacks)
        : loop_{&loop}, calls_{&calls}, kind_{kind}, store_{store}, mirror_{settings, seed},
          callbacks_{std::move(callbacks)}, timer_{loop, [this] { apply(mirror_.tick(now())); }},
          peer_timer_{loop, [this] { on_peer_timer(); }},
          join_timer_{loop, [this] { on_join_timer(); }}, random_{seed}
    {
    }

    /// Starts to read.
    void start() { apply(mirror_.start(now())); }

    /// Returns the copy.
    const object_mirror& mirror() const { return mirror_; }

    /// Reads everything again, as after a pause of the process.
    void refresh()
    {
        delayed_watch_.reset();
        if (call_) {
            calls_->cancel(*call_);
            call_.reset();
        }
        apply(mirror_.start(now()));
    }

    /// Takes the copy of a router that holds a newer one, unless the store brings it soon.
    void on_newer_copy(const endpoint& peer, store_revision revision)
    {
        if (revision <= mirror_.revision() || !mirror_.is_connected()) {
            return; // While the store is lost, a peer is watched anyway.
        }
        newer_peer_ = peer;
        newer_revision_ = revision;
        if (!peer_timer_.is_active()) {
            peer_timer_.start(kind_ == object_kind::targets ? targets_peer_delay
                                                            : configuration_peer_delay);
        }
    }

    /// Returns whether this router watches the store itself.
    bool watches_store() const { return watches_store_; }

    /// Asks a router for its copy, if there is none yet: at a start while the store is away.
    void peers_changed()
    {
        if (!mirror_.is_known()) {
            watch_peer();
        }
    }

    /// Returns the answer to a router that asks for what is newer than its own copy; a small one
    /// has up to `largest_small` bytes.
    copy_answer answer(const copy_query& query, std::size_t largest_small) const
    {
        const auto changes =
            query.takes_changes ? mirror_.changes_since(query.newer_than) : std::nullopt;
        const auto size = changes ? size_of(*changes) : size_of(mirror_.objects());
        if (query.small_only && size > largest_small) {
            return {copy_answer::too_large, {}};
        }
        if (changes) {
            return {copy_answer::changes, Protocol::write_changes(*changes)};
        }
        object_page page;
        page.revision = mirror_.revision();
        for (const auto& [name, object] : mirror_.objects()) {
            page.objects.push_back(object);
        }
        return {copy_answer::whole, Protocol::write_page(page)};
    }

    /// Longest wait for a list or a copy; the store answers in milliseconds when it is well.
    static constexpr duration list_timeout{1'500'000};
    /// Time beyond its wait after which a watch counts as lost.
    static constexpr duration watch_slack{800'000};
    /// Time that the watch has to bring a change of the configuration that a peer already holds.
    static constexpr duration configuration_peer_delay{400'000};
    /// The same for targets, which change often: twice the longest pause after a change. Those that
    /// leave are to be known within 3 s.
    static constexpr duration targets_peer_delay{800'000};
    /// Longest wait of a peer for a newer copy; then another peer is asked.
    static constexpr duration peer_wait{700'000};
    /// Time beyond it after which a watcher that is followed counts as lost.
    static constexpr duration follow_slack{300'000};
    /// Pause after a peer did not answer, and after one that had nothing newer.
    static constexpr duration peer_retry{200'000};
    static constexpr duration peer_pause{50'000};
    /// Pause between two looks whether the other routers are known.
    static constexpr duration join_pause{200'000};

private:
    time_point now() const { return loop_->now(); }

    void apply(mirror_effects&& effects)
    {
        for (auto& it : effects) {
            std::visit(overloaded{[this](list_objects& e) { list(e); },
                                  [this](watch_objects& e) { watch(e); },
                                  [this](mirror_updated&) { callbacks_.on_updated(); }},
                       it);
        }
        if (const auto next = mirror_.next_timer()) {
            timer_.start(std::max(*next - now(), shortest_timer));
        }
    }

    void list(const list_objects& e)
    {
        send(Protocol::list_call(kind_, e.after), list_timeout,
             [this](const std::string& body) { return take(Protocol::read_page(body)); });
    }

    void watch(const watch_objects& e)
    {
        if (mirror_.is_connected() && callbacks_.is_joining()) {
            delayed_watch_ = e;
            join_timer_.start(join_pause);
            return;
        }
        follow(mirror_.is_connected() ? callbacks_.watchers_to_follow() : std::vector<endpoint>{},
               e);
    }

    void on_join_timer()
    {
        if (const auto e = std::exchange(delayed_watch_, std::nullopt)) {
            watch({mirror_.revision(), e->wait});
        }
    }

    /// Waits for a newer copy at the last of the routers. Without an answer this router watches the
    /// store itself for one round; so it does when all of them say that they do not watch it.
    void follow(std::vector<endpoint>&& watchers, const watch_objects& e)
    {
        if (watchers.empty()) {
            watch_store(e);
            return;
        }
        watches_store_ = false;
        const auto watcher = watchers.back();
        watchers.pop_back();
        call_ =
            calls_->call({watcher,
                          "GET",
                          write_copy_query({kind_, mirror_.revision(), true, true, true}),
                          {},
                          peer_wait + follow_slack},
                         [this, e, others = std::move(watchers)](call_outcome&& outcome) mutable {
                             call_.reset();
                             take_watcher_answer(outcome, std::move(others), e);
                         });
    }

    void take_watcher_answer(const call_outcome& outcome, std::vector<endpoint>&& others,
                             const watch_objects& e)
    {
        const auto* reply = std::get_if<call_reply>(&outcome);
        if (reply != nullptr && reply->status == copy_answer::no_watcher) {
            follow(std::move(others), e);
            return;
        }
        const bool has_nothing = reply != nullptr && reply->status == copy_answer::nothing_newer;
        if (has_nothing || (reply != nullptr && take_copy(*reply))) {
            apply(mirror_.take(object_changes{{}, mirror_.revision()}, now()));
            return;
        }
        watch_store({mirror_.revision(), e.wait});
    }

    /// Takes what a router answered: its copy, or what changed in it. Returns whether it was read.
    bool take_copy(const call_reply& reply)
    {
        if (reply.status == copy_answer::changes) {
            return take_read_copy(Protocol::read_changes(reply.body));
        }
        return reply.status == copy_answer::whole &&
               take_read_copy(Protocol::read_page(reply.body));
    }

    template <class Copy>
    bool take_read_copy(result<Copy>&& read)
    {
        if (!has_value(read)) {
            log("copy_not_read", to_string(findings_of(read)));
            return false;
        }
        apply(mirror_.take_copy(std::get<Copy>(std::move(read)), now()));
        return true;
    }

    void watch_store(const watch_objects& e)
    {
        watches_store_ = true;
        send(Protocol::watch_call(kind_, e.after, e.wait), e.wait + watch_slack,
             [this](const std::string& body) { return take(Protocol::read_changes(body)); });
    }

    template <class Take>
    void send(const store_call& call, duration timeout, Take take_body)
    {
        call_ = calls_->call({store_, call.method, call.target, call.body, timeout},
                             [this, take_body](call_outcome&& outcome) {
                                 call_.reset();
                                 if (const auto* failure = std::get_if<call_failed>(&outcome)) {
                                     note_failure(failure->reason);
                                     return;
                                 }
                                 const auto& reply = std::get<call_reply>(outcome);
                                 if (reply.status == history_gone_status) {
                                     log("store_history_gone", "");
                                     apply(mirror_.history_gone(now()));
                                 }
                                 else if (reply.status != store_ok_status) {
                                     note_failure("status " + std::to_string(reply.status));
                                 }
                                 else {
                                     note_success();
                                     apply(take_body(reply.body));
                                 }
                             });
    }

    template <class T>
    mirror_effects take(result<T>&& read)
    {
        if (!has_value(read)) {
            note_failure(to_string(findings_of(read)));
            return {};
        }
        return mirror_.take(std::get<T>(std::move(read)), now());
    }

    void note_failure(const std::string& reason)
    {
        if (mirror_.is_connected() || !has_logged_loss_) {
            has_logged_loss_ = true;
            log("store_lost", reason);
        }
        apply(mirror_.call_failed(now()));
        watch_peer();
    }

    void note_success()
    {
        if (std::exchange(has_logged_loss_, false)) {
            log("store_regained", "");
        }
    }

    void on_peer_timer()
    {
        if (!mirror_.is_connected()) {
            watch_peer();
        }
        else if (newer_revision_ > mirror_.revision()) {
            ask_peer(newer_peer_);
        }
    }

    /// Waits for a newer copy at any live router, as long as the store is lost.
    void watch_peer()
    {
        if (mirror_.is_connected() || is_asking_peer_) {
            return;
        }
        const auto peers = callbacks_.peers();
        if (peers.empty()) {
            peer_timer_.start(peer_retry);
            return;
        }
        ask_peer(peers[random_.below(peers.size())]);
    }

    void ask_peer(const endpoint& peer)
    {
        if (is_asking_peer_) {
            return;
        }
        is_asking_peer_ = true;
        // Only a copy asked for beside a working watch tells that the watch is silent.
        const bool was_connected = mirror_.is_connected();
        calls_->call({peer,
                      "GET",
                      write_copy_query({kind_, mirror_.revision(), false, true, was_connected}),
                      {},
                      peer_wait + watch_slack},
                     [this, peer, was_connected](call_outcome&& outcome) {
                         is_asking_peer_ = false;
                         take_peer_answer(peer, outcome, was_connected);
                     });
    }

    void take_peer_answer(const endpoint& peer, const call_outcome& outcome, bool was_connected)
    {
        const auto* reply = std::get_if<call_reply>(&outcome);
        if (reply != nullptr && reply->status == copy_answer::nothing_newer) {
            // A peer that has lost the store, too, answers at once.
            peer_timer_.start(peer_pause);
            return;
        }
        if (reply != nullptr && reply->status == copy_answer::too_large) {
            read_from_store();
            return;
        }
        const auto former = mirror_.revision();
        if (reply == nullptr || !take_copy(*reply)) {
            log("copy_not_read", peer.address);
            peer_timer_.start(peer_retry);
            return;
        }
        log("copy_read", peer.address);
        if (was_connected && mirror_.revision() > former) {
            watch_again();
            return;
        }
        watch_peer();
    }

    /// Reads from the store what a router holds but does not pass on. A follower does not wait for
    /// its watcher, which may lag behind.
    void read_from_store()
    {
        if (!call_) {
            peer_timer_.start(peer_retry); // Between two watches; then the router is asked again.
            return;
        }
        if (watches_store_ || !mirror_.is_connected()) {
            watch_again();
            return;
        }
        calls_->cancel(*call_);
        call_.reset();
        watch_store({mirror_.revision(), peer_wait});
    }

    /// Breaks off the watch, which should have brought what a router already holds: it may be
    /// silent.
    void watch_again()
    {
        if (!watches_store_ && mirror_.is_connected()) {
            return; // The router that is followed lags behind, not the store.
        }
        if (mirror_.is_connected() && call_) {
            calls_->cancel(*call_);
            call_.reset();
            note_failure("a router holds a newer copy");
            return;
        }
        watch_peer();
    }

    void log(std::string name, std::string_view reason)
    {
        callbacks_.on_log(log_event{std::move(name)}
                              .add("kind", to_string(kind_))
                              .add("revision", mirror_.revision().value())
                              .add("reason", reason));
    }

    /// Returns the size of the contents, about that of their encoding.
    static std::size_t size_of(const object_changes& changes)
    {
        std::size_t size = 0;
        for (const auto& it : changes.changes) {
            size += it.object.name.size() + it.object.content.size();
        }
        return size;
    }

    static std::size_t size_of(const std::map<std::string, mirrored_object>& objects)
    {
        std::size_t size = 0;
        for (const auto& [name, object] : objects) {
            size += name.size() + object.content.size();
        }
        return size;
    }

    static constexpr int store_ok_status = 200;
    static constexpr int history_gone_status = 410;
    static constexpr duration shortest_timer{1'000};

    event_loop* loop_;
    call_client* calls_;
    object_kind kind_;
    endpoint store_;
    object_mirror mirror_;
    mirror_client_callbacks callbacks_;
    std::optional<outgoing_id> call_;
    endpoint newer_peer_; ///< Said to hold a newer copy.
    store_revision newer_revision_;
    bool is_asking_peer_ = false;
    bool watches_store_ = false;
    bool has_logged_loss_ = false;
    timer timer_;
    timer peer_timer_;
    timer join_timer_;
    std::optional<watch_objects> delayed_watch_; ///< Until the other routers are known.
    random_source random_;
};

} // namespace endivelatch
