#include "endivelatch/membership/member_table.hpp"

#include <tuple>

namespace endivelatch {
namespace {

/// Returns the sort key of updates of one member; a greater key replaces a lesser one.
auto precedence(incarnation run, refutation_number refutation, member_status status)
{
    return std::tuple{run, refutation, status};
}

} // namespace

update_result member_table::apply(const member_update& update)
{
    const auto& subject = update.subject;
    const auto it = peers_.find(subject.id);
    if (it == peers_.end()) {
        if (!update.has_details || subject.status == member_status::dead) {
            return update_result::ignored;
        }
        peer_record added;
        added.info = subject;
        added.refutation = update.refutation;
        peers_.emplace(subject.id, added);
        return update_result::added;
    }
    auto& known = it->second;
    const bool is_new_run = subject.run > known.info.run;
    if (is_new_run && !update.has_details) {
        return update_result::ignored;
    }
    if (precedence(subject.run, update.refutation, subject.status) <=
        precedence(known.info.run, known.refutation, known.info.status)) {
        return update_result::ignored;
    }
    const bool is_changed = is_new_run || subject.status != known.info.status;
    known.refutation = update.refutation;
    if (update.has_details) {
        known.info = subject;
    }
    known.info.status = subject.status;
    return is_changed ? update_result::changed : update_result::confirmed;
}

peer_record* member_table::find(const router_id& id)
{
    const auto it = peers_.find(id);
    return it == peers_.end() ? nullptr : &it->second;
}

const peer_record* member_table::find(const router_id& id) const
{
    const auto it = peers_.find(id);
    return it == peers_.end() ? nullptr : &it->second;
}

bool member_table::is_duplicate(const member_update& update, const peer_record& known)
{
    return precedence(update.subject.run, update.refutation, update.subject.status) ==
           precedence(known.info.run, known.refutation, known.info.status);
}

member_update member_table::to_update(const peer_record& peer, bool has_details)
{
    member_update out{peer.info, peer.refutation, has_details};
    if (!has_details) {
        out.subject = member{};
        out.subject.id = peer.info.id;
        out.subject.run = peer.info.run;
        out.subject.status = peer.info.status;
    }
    return out;
}

} // namespace endivelatch
