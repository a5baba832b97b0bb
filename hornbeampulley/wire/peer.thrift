// Messages between the processes of the system. A frame is a 4-byte
// big-endian length and a Frame in the compact protocol.
namespace py peer

// Home and scheduler number their messages, so that a scheduler can tell for
// certain what a lost home never ran.
struct Stamp {
  1: i32 session
  2: i64 sequence
  3: i64 echo
}

// A request is named by lease and counter of its id, since the link tells the
// home. Enumerations travel as places in their order of definition.
struct Hello {
  1: string role
  2: string host
  3: string incarnation
  4: string availability_zone
  5: string address
  6: i32 caller_port
  7: i32 peer_port
  8: string pool
  9: i32 process_number
}

struct Heartbeat {
  1: i32 load
  2: bool draining
  3: optional Stamp stamp
  4: i32 session
  5: i64 number
  // Time until the next heartbeat at the latest; the usual one if not set.
  6: optional i32 interval_ms
}

struct Reserve {
  1: i32 id_lease
  2: i32 id_counter
  3: string workspace
  4: string service_name
  5: string tier
  6: i32 prompt_tokens
  7: i32 output_tokens
  8: binary block_hashes
  9: i64 fingerprint
  10: i32 deadline_in_ms
  11: string idempotency_key
  12: bool repeatable
  13: string target
  14: i32 waited_ms
  15: Stamp stamp
  16: bool dispatched
  17: string avoided
  18: i32 objective_in_ms
  19: i32 begin_by_in_ms
  20: optional i32 expected_tokens
  // Ids of the parts of the prompt, packed.
  21: optional binary prompt_parts
  // Version of the software that began the answer; the stream that the caller
  // takes up, 0 if it does not name it.
  22: optional string software
  23: optional i64 stream
}

struct Withdraw {
  1: i32 id_lease
  2: i32 id_counter
  3: optional Stamp stamp
}

struct Progress {
  1: i32 id_lease
  2: i32 id_counter
  3: i32 output_tokens
  4: i32 first_token_ms
}

struct Release {
  1: i32 id_lease
  2: i32 id_counter
  3: i32 outcome
  4: i32 output_tokens
  5: i32 first_token_ms
  6: i32 duration_ms
  7: i32 cached_tokens
  8: optional Stamp stamp
  9: optional i32 first_tokens
  // Longest pause of the stream, as a share of the allowed one; not set if it
  // is not known.
  10: optional double pause_ratio
}

struct Lease {
  1: i32 id_lease
  2: i32 id_counter
  3: string target
  4: i32 valid_ms
  5: bool resume
  6: i32 session
  7: i64 heard
  8: optional i32 expected_ms
  // Version of the software that the target must have.
  9: optional string software
  // Slowness of the target that the scheduler knows of; not set as usual.
  10: optional double slowness
}

struct Refuse {
  1: i32 id_lease
  2: i32 id_counter
  3: i32 reason
  4: bool ran
  5: i32 retry_after_ms
  6: i32 waiting
  7: i32 capacity
  8: optional i32 price_ms
  9: optional i32 start_within_ms
}

struct Preempt {
  1: i32 id_lease
  2: i32 id_counter
  3: string target
}

struct Quarantine { 1: i64 fingerprint }

// Between the owner of a pool and its homes: requests with a part of a prompt
// are refused. A period of 0 lifts it.
struct PartQuarantine {
  1: string pool
  2: binary part
  3: i32 left_ms
  4: i32 period_ms
}

// From a home to the schedulers of a pool: the software versions that began
// streams, for callers that take them up at other homes.
struct StreamOrigin {
  1: i64 stream
  2: string software
  3: i32 left_ms
}

struct StreamOrigins { 1: list<StreamOrigin> origins }

struct FateQuery {
  1: string request_id
  2: string asker
}

struct FateAnswer {
  1: string request_id
  2: bool never_ran
}

// A home asks for it before it goes to another scheduler.
struct Leave {}

struct Handover { 1: i32 session }

struct Member {
  1: string role
  2: string incarnation
  3: i32 caller_port
  4: i32 peer_port
  5: i32 load
  6: bool draining
}

struct HostRecord {
  1: string host
  2: string address
  3: string availability_zone
  4: i64 started_ms
  5: i64 version
  6: list<Member> members
  7: list<string> ended
  8: string region
  9: optional double processor_capacity
}

struct TicketStamp {
  1: string scope
  2: i64 number
  3: string digest
}

struct TicketText {
  1: string scope
  2: binary text
}

// From an agent to the other processes of its host; fields that have not
// changed since the last one are left out.
struct View {
  1: optional list<TicketText> tickets
  2: optional list<HostRecord> hosts
  3: optional list<string> leaving
  4: double fresh_age_ms
  5: bool ready
  6: optional list<string> listed
}

struct Pulse {
  1: i64 key
  2: i32 version
}

// Between agents, about hosts.
struct DirectoryNews {
  1: list<HostRecord> records
  2: list<Pulse> pulses
  3: list<i64> wanted
}

// State of a host: alive, suspected or dead, by place.
struct HostNews {
  1: HostRecord record
  2: i32 state
}

// Between nodes: hosts whose state or record has changed.
struct MembershipNews {
  1: list<HostNews> news
  // Whether it answers a SyncRequest; it is not passed on then.
  2: optional bool is_sync
}

// Asks for all hosts unless the receiver's digest of them is the same.
struct SyncRequest { 1: i64 digest }

struct Probe { 1: i64 number }

struct ProbeAck { 1: i64 number }

// Asks the receiver to probe a host that has not acknowledged a probe.
struct ProbeRequest {
  1: i64 number
  2: string address
}

// Between agents, about tickets and the host list.
struct TicketNotice {
  1: i64 serial
  2: list<i64> ages_ms
  3: list<TicketStamp> changed
  4: bool is_answer
}

struct TicketSummary {
  1: list<TicketStamp> stamps
  2: bool wants_answer
  3: bool is_ready
}

struct TicketPull { 1: list<string> scopes }

struct TicketBody {
  1: TicketStamp stamp
  2: double age_ms
  3: binary content
}

struct Query {
  1: i64 number
  2: string command
  3: string argument
}

struct Reply {
  1: i64 number
  2: string text
}

// From a home to the scheduler: what it saw of a target.
struct TargetReport {
  1: string target
  2: i32 running
  3: i32 queued
  4: bool is_down
  // Number of requests that it can run at once; not set if it names none.
  5: optional i32 slots
  // Time that its work takes now, as a multiple of the usual time; not set if
  // it does not say.
  6: optional double slowness
  // Time since its answer was received, ms; not set if it was just now.
  7: optional i32 age_ms
}

// What a target has said of itself in an answer, told to all that send to it.
struct TargetSignals {
  1: string target
  // Wall time of the start of its run, ms.
  2: i64 born_ms
  3: bool is_leaving
  // Time for which it still wants no requests, ms.
  4: i32 back_off_ms
  // Requests per second from all hosts together; not set if it names no limit.
  5: optional double rate_limit
  // Time since it said so, ms; not set if it never named a limit.
  6: optional i32 limit_age_ms
}

// To the owner of a workspace's usage cap, and its answer: 0 if the units were
// granted, otherwise the time until they can be.
struct Draw {
  1: i64 number
  2: string workspace
  3: double units
}

struct Grant {
  1: i64 number
  2: double wait_ms
}

struct Refund {
  1: string workspace
  2: double units
}

// What a host has read, for a host that can't read; the last message of several
// holds the sender's position, which the receiver then has too.
struct StoredItem {
  1: string key
  2: binary content
  3: i64 revision
  4: bool deleted
  // How long the sender still waits for a deleted item to come back, ms.
  5: i32 held_ms
  // Whether the content is compressed.
  6: optional bool is_packed
  // History of the store that the revision belongs to.
  7: optional i64 epoch
  // Of a deleted item: start of the run of the target and count of its writes.
  8: optional i64 born_ms
  9: optional i64 sequence
}

// The last revisions that a host has read: with its news of hosts, or on a link
// to ask for what is newer.
struct Position {
  1: i64 revision
  2: i64 routing_version
  // Time since a host that reads the store was last up to date, ms.
  3: optional i32 age_ms
  // Histories of the store that the two revisions belong to.
  4: optional i64 epoch
  5: optional i64 routing_epoch
  // Version of the routing table in force.
  6: optional i64 table_version
}

struct StoredItems {
  1: i64 revision
  2: list<StoredItem> items
  3: i64 routing_version
  4: optional Position position
}

union Message {
  1: Hello hello
  2: Heartbeat heartbeat
  3: Reserve reserve
  4: Withdraw withdraw
  5: Progress progress
  6: Release release
  7: Lease lease
  8: Refuse refuse
  9: Preempt preempt
  10: Quarantine quarantine
  11: FateQuery fate_query
  12: FateAnswer fate_answer
  13: View view
  14: DirectoryNews directory_news
  15: Query query
  16: Reply reply
  17: Leave leave
  18: Handover handover
  19: TicketNotice ticket_notice
  20: TicketSummary ticket_summary
  21: TicketPull ticket_pull
  22: TicketBody ticket_body
  23: TargetReport target_report
  24: Draw draw
  25: Grant grant
  26: Refund refund
  27: StoredItems stored_items
  28: Position position
  29: MembershipNews membership_news
  30: SyncRequest sync_request
  31: Probe probe
  32: ProbeAck probe_ack
  33: ProbeRequest probe_request
  34: PartQuarantine part_quarantine
  35: TargetSignals target_signals
  36: StreamOrigins stream_origins
}

struct Frame {
  1: i64 hlc
  2: list<Message> messages
}
