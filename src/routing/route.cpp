#include "endivelatch/routing/route.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

constexpr std::size_t max_ring_points = 64; // ring points examined per candidate

/// Selects the candidates for one request.
class candidate_selector {
public:
    candidate_selector(const target_directory& directory, const route_request& request,
                       const route_settings& settings)
        : directory_{directory}, request_{request}, settings_{settings},
          chat_hash_{chat_prefix_hash(request.organisation, request.chat)}
    {
    }

    /// Returns the choice with its candidates, best first.
    route_choice run()
    {
        add_warm_candidate();
        add_hash_candidates();
        for (const auto* it : candidates_) {
            choice_.candidates.push_back(it->id);
        }
        return std::move(choice_);
    }

private:
    void add_warm_candidate()
    {
        const auto& hint = request_.hint;
        if (!hint) {
            return;
        }
        const target_state* target = nullptr;
        if (directory_.may_be_warm(hint->target, hint->target_run, request_.prefix_hash)) {
            target = directory_.find(hint->target);
        }
        else if (directory_.has_transferred_cache(hint->target, hint->target_run)) {
            target = next_target(primary_ring_position(chat_hash_));
        }
        if (target == nullptr || target->pool != request_.pool) {
            return;
        }
        ++choice_.examined;
        candidates_.push_back(target);
        choice_.reason = route_reason::warm;
        choice_.warm_wait = std::min(settings_.max_warm_wait, warm_wait_limit(*hint));
    }

    /// Returns how long to wait for the hinted target. It may exceed the time of a prefill, since a
    /// prefill at another target also delays the other requests of that target.
    duration warm_wait_limit(const warm_hint& hint) const
    {
        const std::chrono::duration<double> prefill{hint.prefix_tokens / settings_.prefill_rate};
        return std::chrono::duration_cast<duration>(prefill * settings_.wait_per_prefill);
    }

    /// Adds the targets by hash. If the next turn comes with a hint, it finds the chat's cache on
    /// any target, so the least loaded one is preferred. Otherwise only the hash leads back to the
    /// cache, so the targets keep their order.
    void add_hash_candidates()
    {
        const auto warm_count = static_cast<std::ptrdiff_t>(candidates_.size());
        const target_state* primary_target = nullptr;
        for (std::uint64_t it = 0; it < settings_.hash_candidates; ++it) {
            const auto* target = next_target(candidate_position(it));
            if (target == nullptr) {
                break;
            }
            primary_target = it == 0 ? target : primary_target;
            candidates_.push_back(target);
        }
        if (next_turn_has_hint()) {
            std::stable_sort(candidates_.begin() + warm_count, candidates_.end(),
                             [](const target_state* a, const target_state* b) {
                                 return a->in_flight < b->in_flight;
                             });
        }
        if (choice_.reason == route_reason::none && primary_target != nullptr) {
            choice_.reason = candidates_.front() == primary_target ? route_reason::primary
                                                                   : route_reason::least_loaded;
        }
    }

    const target_state* next_target(std::uint64_t position)
    {
        return directory_.lookup(
            request_.pool, position, max_ring_points, [&](const target_state& it) {
                ++choice_.examined;
                return std::find(candidates_.begin(), candidates_.end(), &it) == candidates_.end();
            });
    }

    /// Returns whether the chat's next turn is expected to come with a hint.
    bool next_turn_has_hint() const { return request_.keeps_hints || request_.hint.has_value(); }

    /// Returns the ring position of a candidate. Chats with a shared prefix use the positions of
    /// its replicas; chats whose next turn has no hint use positions of their own.
    std::uint64_t candidate_position(std::uint64_t candidate) const
    {
        if (next_turn_has_hint() && request_.shared_prefix_hash != 0 &&
            settings_.prefix_replicas != 0) {
            const auto replica = (chat_hash_ + candidate) % settings_.prefix_replicas;
            return combine_hashes(request_.shared_prefix_hash, replica);
        }
        return candidate == 0 ? primary_ring_position(chat_hash_)
                              : combine_hashes(chat_hash_, candidate);
    }

    const target_directory& directory_;
    const route_request& request_;
    const route_settings& settings_;
    std::uint64_t chat_hash_;
    std::vector<const target_state*> candidates_;
    route_choice choice_;
};

} // namespace

std::uint64_t chat_prefix_hash(const organisation_id& organisation, const chat_id& chat)
{
    return combine_hashes(stable_hash(organisation.str()), stable_hash(chat.str()));
}

std::uint64_t primary_ring_position(std::uint64_t prefix_hash)
{
    return combine_hashes(prefix_hash, 0);
}

route_choice choose_targets(const target_directory& directory, const route_request& request,
                            const route_settings& settings)
{
    return candidate_selector{directory, request, settings}.run();
}

} // namespace endivelatch
