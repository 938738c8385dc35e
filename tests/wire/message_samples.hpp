#pragma once

#include "endivelatch/membership/gossip.hpp"
#include "endivelatch/wire/message.hpp"

#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace endivelatch {

inline attempt_key sample_key()
{
    return {{router_id{"gent-1"}, incarnation{1'764'000'000}, 42}, attempt{2}};
}

inline payload sample_payload(std::size_t size)
{
    return std::make_shared<const std::string>(size, '\xff');
}

/// Returns a request with all fields set, some numbers to their largest value.
inline forward_request sample_forward()
{
    forward_request out;
    out.key = sample_key();
    out.target = target_id{"model-7"};
    out.organisation = organisation_id{"bells"};
    out.caller = caller_id{"clerk"};
    out.chat = chat_id{"chat-9"};
    out.prefix_hash = std::numeric_limits<std::uint64_t>::max();
    out.work_tokens = std::numeric_limits<std::uint32_t>::max();
    out.priority = -3;
    out.deadline = duration{5'000'000};
    out.repeat = repeatability::non_idempotent;
    out.config_version = 77;
    out.method = "POST";
    out.idempotency_key = booking_key{"1764823980-k"};
    out.path = "/v1/chat/completions";
    out.content_type = "application/json";
    out.streams = true;
    out.body = sample_payload(300);
    return out;
}

/// Returns one message of each kind, in the order of the variant's alternatives.
inline std::vector<peer_message> sample_messages()
{
    const auto key = sample_key();
    return {
        sample_forward(),
        answer_begin{key, 200, "text/event-stream", "hint"},
        answer_event{key, event_number{3}, sample_payload(100)},
        answer_end{key, outcome::complete, event_number{3}, "done", duration{7}},
        cancel_request{key},
        answer_credit{key, event_number{3}},
        resume_request{key.request, organisation_id{"bells"}, target_id{"t"}, event_number{2}},
        status_query{key},
        status_answer{key, attempt_state::ended, outcome::failed},
        handover_query{target_id{"t"}, 7},
        handover_answer{target_id{"t"}, 105, 7},
        booking_request{sample_forward(), booking_key{"order-1"}, std::string(32, '\0')},
        config_query{{{"organisations/0", object_version{9}}, {"fleet", object_version{1}}}},
        config_update{{{"fleet", object_version{2}, "{}"}}},
        heartbeat{12, true},
    };
}

inline peer_envelope sample_envelope(peer_message body)
{
    return {router_id{"gent-1"}, incarnation{5}, {1'764'000'000'000'000, 9}, std::move(body)};
}

inline part_filter sample_filter()
{
    part_filter filter;
    filter.add(part_key{7});
    filter.add(part_key{~0ULL});
    return filter;
}

/// Returns a packet with all fields set.
inline gossip_packet sample_packet()
{
    member described_member{router_id{"namen-2"}, incarnation{4},         domain_id{"namen"},
                            region_id{"be"},      member_status::suspect, {"10.0.0.2", 7400},
                            {"10.0.0.2", 7401},   {"10.0.1.2", 8080}};
    member undescribed_member;
    undescribed_member.id = router_id{"gent-3"};
    undescribed_member.status = member_status::dead;
    gossip_packet out;
    out.kind = gossip_kind::ping_request;
    out.from = router_id{"gent-1"};
    out.from_run = incarnation{5};
    out.number = 100;
    out.sequence = 10;
    out.subject = router_id{"namen-2"};
    out.subject_address = {"10.0.0.2", 7400};
    out.cursor = router_id{"a"};
    out.sender_unknown = true;
    out.has_whole_list = true;
    out.config = {9, 0xFFFF'0000'FFFF'0000};
    out.members = {{described_member, refutation_number{3}, true},
                   {undescribed_member, refutation_number{0}, false}};
    out.summaries = {{router_id{"gent-1"},
                      incarnation{5},
                      {summary_kind::target_load, "t1"},
                      summary_version{8},
                      summary_scope::domain,
                      "\x07"},
                     {router_id{"gent-1"},
                      incarnation{5},
                      {summary_kind::pool_load, "p"},
                      summary_version{9},
                      summary_scope::fleet,
                      ""}};
    out.loads = {{target_key{7}, 12, std::chrono::milliseconds{250}},
                 {target_key{0xFFFF'FFFF}, 0, duration{}},
                 {target_key{8}, 3, std::chrono::milliseconds{40}, 2.5}};
    out.crashes.reports = {{crash_report_id{~0ULL}, target_key{0xFFFF'FFFF},
                            std::chrono::milliseconds{200}, std::chrono::seconds{600},
                            std::vector(max_parts_per_crash_report, part_key{~0ULL - 1}),
                            sample_filter()}};
    out.limits = {{target_key{0xFFFF'FFFF}, request_rate{2.5}, std::chrono::seconds{60}},
                  {target_key{1}, std::nullopt, std::chrono::milliseconds{5}}};
    out.usage = {pool_key{0xFFFF'FFFF},
                 std::vector(max_reported_uses,
                             organisation_use{organisation_key{0xFFFF'FFFF}, 4'000'000.0F, 0.5F})};
    out.crashes.clearances = {{part_key{~0ULL}, std::chrono::milliseconds{60}}};
    out.failures = {{target_key{7}, router_key{0xFFFF'FFFF}, std::chrono::milliseconds{250}},
                    {target_key{0xFFFF'FFFF}, router_key{1}, duration{}}};
    return out;
}

} // namespace endivelatch
