#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/wire/message.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

template <>
struct std::hash<endivelatch::attempt_key> {
    std::size_t operator()(const endivelatch::attempt_key& key) const noexcept
    {
        return std::hash<endivelatch::request_id>{}(key.request) * 31 + key.attempt.value();
    }
};

namespace endivelatch {

/// One request queued for a target.
struct queued_request {
    attempt_key key;
    organisation_id organisation;
    caller_id caller;
    std::int32_t priority = 0;     ///< Higher runs first within its organisation.
    std::uint32_t work_tokens = 1; ///< Estimated work.
    time_point start_by{};         ///< Refused unless it starts by then.
};

/// A bounded queue that divides a target's capacity between organisations by weight and, within
/// each, between its callers, in units of work (start-time fair queueing).
///
/// The estimated work is charged when a request leaves the queue and corrected when it completes.
/// Priorities order the requests of one organisation and do not change its share. Each operation
/// takes time logarithmic in the number of queued requests and organisations.
class fair_queue {
public:
    explicit fair_queue(std::size_t capacity = 256) : capacity_{capacity} {}

    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    fair_queue(fair_queue&&) = default;
    fair_queue& operator=(fair_queue&&) = default;
    ~fair_queue() = default;

    /// Changes the maximum number of queued requests; those present stay.
    void set_capacity(std::size_t capacity) { capacity_ = capacity; }

    /// Adds a request; ignored if its key is already queued. If the queue overflows, removes and
    /// returns a request, possibly the added one: the newest of lowest priority of the organisation
    /// with the most queued requests per weight.
    std::optional<queued_request> push(queued_request request, std::uint32_t weight);

    /// Returns the request that leaves next, or null if none may leave.
    const queued_request* front() const;

    /// Removes and returns the front, which must exist, and charges its estimated work.
    queued_request pop();

    /// Corrects the charge of a request from its `estimated` to its `actual` tokens.
    void complete(const organisation_id& organisation, const caller_id& caller,
                  std::uint32_t estimated, std::uint32_t actual);

    /// Removes a queued request; false if the key is not queued.
    bool cancel(const attempt_key& key);

    /// Removes and returns the requests whose deadline to start has passed.
    std::vector<queued_request> expire(time_point now);

    /// Removes and returns all requests, in no particular order.
    std::vector<queued_request> take_all();

    /// Sets whether requests of the organisation may leave the queue.
    void set_blocked(const organisation_id& organisation, bool blocked);

    /// Returns the earliest deadline to start of all queued requests.
    std::optional<time_point> next_deadline() const;

    /// Returns the number of queued requests.
    std::size_t size() const { return items_.size(); }
    bool empty() const { return items_.empty(); }
    /// Returns the number of organisations with queued requests or outstanding charges.
    std::size_t organisations() const { return organisations_.size(); }

private:
    struct caller_state;
    struct organisation_state;

    struct item {
        queued_request request;
        std::uint64_t sequence = 0;
        organisation_state* organisation = nullptr;
        caller_state* caller = nullptr;
    };

    /// Order within an organisation: highest priority first, then oldest first.
    using item_rank = std::pair<std::int64_t, std::uint64_t>;
    using item_index = std::map<item_rank, item*>;
    /// Order by a virtual time or weighted length; ties by creation number.
    using rank = std::pair<double, std::uint64_t>;
    struct caller_rank {
        std::int64_t negative_priority;
        rank start_tag;

        friend auto operator<=>(const caller_rank&, const caller_rank&) = default;
    };

    struct caller_state {
        caller_id id;
        std::uint64_t number = 0;
        double start_tag = 0; ///< Virtual start time of the caller's next request.
        item_index items;
    };

    struct organisation_state {
        organisation_id id;
        std::uint64_t number = 0;
        double weight = 1;
        double start_tag = 0;    ///< Virtual start time of its next request.
        double virtual_time = 0; ///< Virtual clock of its callers.
        bool is_blocked = false;
        item_index items;
        std::unordered_map<caller_id, std::unique_ptr<caller_state>> callers;
        std::map<caller_rank, caller_state*> ready;
        std::map<rank, caller_state*> idle; ///< Callers without requests, by start tag.
    };

    static item_rank rank_of(const item& it);
    static caller_rank rank_of(const caller_state& caller);

    /// Returns the state of an organisation, creating it if it is missing.
    organisation_state& find_or_add_organisation(const organisation_id& id);
    /// Returns the state of a caller, creating it if it is missing.
    caller_state& find_or_add_caller(organisation_state& organisation, const caller_id& id);
    /// Removes the organisation from the indexes before its rank changes.
    void detach(organisation_state& organisation);
    /// Inserts the organisation into the indexes by its current rank.
    void attach(organisation_state& organisation);
    static void detach(organisation_state& organisation, caller_state& caller);
    static void attach(organisation_state& organisation, caller_state& caller);
    /// Removes a request from all indexes and returns it.
    queued_request remove(item& it);
    /// Deletes idle callers, or organisations, whose charge the virtual time has caught up with.
    void prune(organisation_state& organisation);
    void prune();

    std::size_t capacity_;
    std::uint64_t next_sequence_ = 1;
    double virtual_time_ = 0;
    std::unordered_map<attempt_key, std::unique_ptr<item>> items_;
    std::unordered_map<organisation_id, std::unique_ptr<organisation_state>> organisations_;
    std::map<rank, organisation_state*> ready_; ///< With requests, not blocked, by start tag.
    std::map<rank, organisation_state*> idle_;  ///< Without requests, by start tag.
    std::map<rank, organisation_state*> weighted_lengths_; ///< With requests, by length per weight.
    std::map<std::pair<time_point, std::uint64_t>, item*> deadlines_;
};

} // namespace endivelatch
