/**
 * Wire format of the messages between routers.
 *
 * A peer message is a `message_header` followed by the struct that its `kind` selects.
 * Generate with:
 *   thrift --gen cpp:no_skeleton,templates,moveable_types -out generated endivelatch.thrift
 */
namespace cpp endivelatch.thrift_wire

/** Selects the struct that follows a header. The numbers of removed kinds are not reused. */
enum message_kind {
  forward_request = 1,
  answer_begin = 2,
  answer_event = 3,
  answer_end = 4,
  cancel_request = 5,
  answer_credit = 6,
  resume_request = 7,
  status_query = 8,
  status_answer = 9,
  handover_query = 10,
  handover_answer = 11,
  booking_request = 12,
  config_query = 13,
  config_update = 14,
  heartbeat = 15,
}

struct message_header {
  1: string sender
  2: i64 sender_run
  3: i64 stamp_wall_us
  4: i32 stamp_counter
  5: i32 kind
}

struct attempt_key {
  1: string entry
  2: i64 entry_run
  3: i64 sequence
  4: i32 attempt
}

struct forward_request {
  1: attempt_key key
  2: string target
  3: string organisation
  4: string caller
  5: string chat
  6: i64 prefix_hash
  7: i32 work_tokens
  8: i32 priority
  9: i64 deadline_us
  10: i32 repeat
  11: i64 config_version
  12: string path
  13: string content_type
  14: optional binary body
  15: string method
  16: bool streams
  17: string idempotency_key
}

struct answer_begin {
  1: attempt_key key
  2: i32 status
  3: string content_type
  4: string hint
}

struct answer_event {
  1: attempt_key key
  2: i64 number
  3: optional binary data
}

struct answer_end {
  1: attempt_key key
  2: i32 result
  3: i64 last
  4: string reason
  5: i64 retry_after_us
}

struct cancel_request {
  1: attempt_key key
}

struct answer_credit {
  1: attempt_key key
  2: i64 taken
}

/** The field `attempt` of `request` is not used. */
struct resume_request {
  1: attempt_key request
  2: string organisation
  3: string target
  4: i64 after
}

struct status_query {
  1: attempt_key key
}

struct status_answer {
  1: attempt_key key
  2: i32 state
  3: i32 result
}

struct handover_query {
  1: string target
  2: i64 adoption
}

struct handover_answer {
  1: string target
  2: i32 in_flight
  3: i64 adoption
}

struct booking_request {
  1: forward_request call
  2: string key
  3: binary body_digest
}

struct object_have {
  1: string name
  2: i64 version
}

struct config_query {
  1: list<object_have> have
}

struct config_object {
  1: string name
  2: i64 version
  3: binary document
}

struct config_update {
  1: list<config_object> objects
}

struct heartbeat {
  1: i64 sequence
  2: bool is_reply
}

struct gossip_endpoint {
  1: string address
  2: i32 port
}

/** Properties of a member that are constant during its run. An address equal to that of `gossip` is left empty. */
struct member_details {
  1: string domain
  2: string region
  3: gossip_endpoint gossip
  4: gossip_endpoint link
  5: gossip_endpoint http
}

struct member_update {
  1: string id
  2: i64 run
  3: i32 refutation
  4: i32 status
  5: optional member_details details
}

struct summary_item {
  1: i32 kind
  2: string id
  3: i64 version
  4: i32 scope
  5: binary value
}

/** Summaries with the same owner. */
struct summary_group {
  1: string owner
  2: i64 owner_run
  3: list<summary_item> items
}

/** The field `target` is a hash of the target's id. */
struct load_item {
  1: i32 target
  2: i32 in_flight
  3: i32 age_ms
  4: optional i32 slowdown_percent
}

/** The fields `target` and `reporter` are hashes of the ids. */
struct failure_item {
  1: i32 target
  2: i32 reporter
  3: i32 age_ms
}

/** The field `target` is a hash of the target's id, `id` one of the request and its attempt. */
struct crash_item {
  1: i64 id
  2: i32 target
  3: i32 held_ms
  4: i32 age_ms
  5: list<i64> parts
  6: optional binary all_parts
}

/**
 * An answer to a prompt with the part was whole. Builds that do not set `is_whole` report answers that have only begun.
 */
struct clearance_item {
  1: i64 part
  2: i32 age_ms
  3: optional bool is_whole
}

/** The field `target` is a hash of the target's id. A negative limit means that it was lifted. */
struct limit_item {
  1: i32 target
  2: i32 milli_per_s
  3: i32 age_ms
}

/**
 * The field `usage` holds numbers of 32 bits, little-endian: a hash of the pool's id, then for each organisation a hash
 * of its id, the work that it asks for and the work that is served, in us of a target's time per second.
 */
struct gossip_packet {
  1: i32 kind
  2: string sender
  3: i64 sender_run
  4: i64 number
  5: i64 sequence
  6: i64 config_version
  7: i64 config_digest
  8: optional string subject
  9: optional gossip_endpoint subject_address
  10: optional string cursor
  11: optional bool sender_unknown
  12: optional list<member_update> members
  13: optional list<summary_group> summaries
  14: optional bool has_whole_list
  15: optional list<load_item> loads
  16: optional list<failure_item> failures
  17: optional list<crash_item> crashes
  18: optional list<clearance_item> clearances
  19: optional list<limit_item> limits
  20: optional binary usage
}

struct link_hello {
  1: string sender
  2: i64 sender_run
  3: binary nonce
}
