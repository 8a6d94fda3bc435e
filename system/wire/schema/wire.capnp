@0xd1f7a2c3b4e59601;
# What yardrock processes say to each other, and what they keep on disk.

using Go = import "/go.capnp";
$Go.package("schema");
$Go.import("yardrock.example/system/wire/schema");

struct Query {
  version @0 :UInt32;
  fleet @1 :Text;
  union {
    status @2 :StatusQuery;
    agreement @3 :AgreementBatch;
    command @4 :CommandQuery;
    read @5 :ReadQuery;
    follow @6 :FollowQuery;
    hold @7 :HoldQuery;
    newest @8 :NewestQuery;
    sessions @9 :SessionBatch;
    putCold @10 :ColdChunkBatch;
    change @11 :ChangeQuery;
    digests @12 :DigestQuery;
    getCold @13 :GetColdQuery;
    runner @14 :RunnerNote;
    find @15 :FindQuery;
    opening @16 :OpeningQuery;
    rateLimit @19 :RateLimitQuery;
  }
  forwarded @17 :Bool;
  # The name of the process that is meant; empty: whoever listens at the address.
  to @18 :Text;
}

struct Reply {
  failure @0 :Failure;
  union {
    nothing @1 :Void;
    status @2 :StatusReply;
    outcomes @3 :OutcomeList;
    read @4 :ReadReply;
    follow @5 :FollowReply;
    newest @6 :NewestReply;
    change @7 :ChangeReply;
    digests @8 :DigestReply;
    chunks @9 :ColdChunkBatch;
    found @10 :FindReply;
    opening @11 :Opening;
    rateLimit @12 :RateLimitReply;
  }
}

# --- rate limits ---

struct RateLimitQuery {
  group @0 :UInt32;
  tenant @1 :Text;
  rate @2 :Float64;
  burst @3 :Float64;
  config @4 :UInt64;
  wanted @5 :UInt32;
  unused @6 :UInt32;
  term @7 :UInt64;
  maxDelay @8 :Int64;
}

struct RateLimitReply {
  granted @0 :UInt32;
  retryAfter @1 :Int64;
  term @2 :UInt64;
  delay @3 :Int64;
}

struct Failure {
  kind @0 :Text;
  message @1 :Text;
  remedy @2 :Text;
  leader @3 :Text;
  retryAfter @4 :Int64;
}

# --- agreement ---

struct Replicas {
  voters @0 :List(Text);
  learners @1 :List(Text);
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt16;
  data @3 :Data;
  replicas @4 :Replicas;
}

struct Checkpoint {
  index @0 :UInt64;
  term @1 :UInt64;
  replicas @2 :Replicas;
  data @3 :Data;
}

struct State {
  term @0 :UInt64;
  voted @1 :Text;
}

struct AgreementMessage {
  group @0 :UInt32;
  kind @1 :UInt16;
  from @2 :Text;
  to @3 :Text;
  term @4 :UInt64;
  index @5 :UInt64;
  logTerm @6 :UInt64;
  commit @7 :UInt64;
  round @8 :UInt64;
  refused @9 :Bool;
  hint @10 :UInt64;
  forced @11 :Bool;
  entries @12 :List(Entry);
  checkpoint @13 :Checkpoint;
  chunk @14 :SnapshotChunk;
}

struct SnapshotChunk {
  offset @0 :UInt64;
  total @1 :UInt64;
  contentSum @2 :UInt32;
  checksum @3 :UInt32;
  reason @4 :UInt16;
}

struct AgreementBatch {
  messages @0 :List(AgreementMessage);
  from @1 :Text;
  to @2 :Text;
  beats @3 :List(Beat);
  answers @4 :List(Beat);
}

struct Beat {
  group @0 :UInt32;
  term @1 :UInt32;
  index @2 :UInt64;
  round @3 :UInt64;
}

struct StoredWrite {
  state @0 :State;
  entries @1 :List(Entry);
  pointed @2 :Bool;
  checkpoint @3 :Checkpoint;
  contentApart @4 :Bool;
}

# --- who is there ---

struct StatusQuery {
  address @0 :Text;
  traffic @1 :Bool;
  openings @2 :Bool;
}

struct KindTraffic {
  kind @0 :Text;
  asked @1 :UInt64;
  answered @2 :UInt64;
  bytesOut @3 :UInt64;
  bytesIn @4 :UInt64;
}

struct StatusReply {
  name @0 :Text;
  role @1 :Text;
  address @2 :Text;
  domain @3 :Text;
  empty @4 :Bool;
  fleet @5 :Text;
  number @6 :UInt64;
  leader @7 :Text;
  controls @8 :List(Member);
  founding @9 :List(Text);
  groups @10 :List(GroupStatus);
  demand @11 :List(RunnerDemand);
  waiting @12 :UInt32;
  traffic @13 :List(KindTraffic);
}

struct RunnerDemand {
  address @0 :Text;
  out @1 :UInt32;
  cooled @2 :Bool;
}

struct GroupStatus {
  group @0 :UInt32;
  leading @1 :Bool;
  voters @2 :List(Text);
  learners @3 :List(Text);
  openings @4 :List(OpeningStatus);
}

struct OpeningStatus {
  name @0 :Text;
  scope @1 :Text;
  size @2 :UInt64;
  lines @3 :UInt64;
  damaged @4 :Bool;
}

struct Member {
  name @0 :Text;
  role @1 :Text;
  address @2 :Text;
  domain @3 :Text;
  state @4 :Text;
  administration @5 :Text;
  machine @6 :Text;
}

# --- lines ---

struct Event {
  seq @0 :UInt64;
  at @1 :Int64;
  kind @2 :UInt16;
  turn @3 :UInt64;
  follows @4 :UInt64;
  words @5 :Text;
  outcome @6 :Text;
  runner @7 :Text;
  dispatch @8 :Text;
  digest @9 :Text;
  name @10 :Text;
  part @11 :UInt64;
  producer @12 :Text;
  producerSeq @13 :UInt64;
  config @14 :UInt64;
  deadline @15 :Int64;
  data @16 :Data;
  opening @17 :Text;
}

struct Command {
  kind @0 :UInt16;
  line @1 :Text;
  now @2 :Int64;
  keepFor @3 :Int64;
  team @4 :Text;
  program @5 :Text;
  workKind @6 :Text;
  producer @7 :Text;
  producerSeq @8 :UInt64;
  expects @9 :Bool;
  expectedSeq @10 :UInt64;
  events @11 :List(Event);
  archivedSeq @12 :UInt64;
  reservation @13 :Text;
  words @14 :UInt64;
  allowance @15 :UInt64;
  acks @16 :List(Ack);
  life @17 :Int64;
  follows @18 :Text;
  dispatch @19 :Text;
  outcome @20 :Text;
  data @21 :Data;
  tokens @22 :UInt64;
  budgeted @23 :Bool;
  keeps @24 :Bool;
  adopted @25 :List(AdoptedTurn);
  scope @26 :Text;
  opening @27 :Text;
  conversation @28 :Text;
  runner @29 :Text;
  promptTokens @30 :UInt64;
}

# Which runner probably has a conversation in its prefix cache; a hint.
struct CacheLocation {
  conversation @0 :Text;
  runner @1 :Text;
  tokens @2 :UInt64;
}

struct Opening {
  name @0 :Text;
  scope @1 :Text;
  data @2 :Data;
  until @3 :Int64;
}

struct OpeningQuery {
  group @0 :UInt32;
  name @1 :Text;
}

struct AdoptedTurn {
  name @0 :Text;
  data @1 :Data;
}

struct TurnRecord {
  line @0 :Text;
  name @1 :Text;
  seq @2 :UInt64;
  ended @3 :UInt64;
  follows @4 :Text;
  outcome @5 :Text;
  dispatch @6 :Text;
  deadline @7 :Int64;
  tokens @8 :UInt64;
}

struct Ack {
  line @0 :Text;
  archivedSeq @1 :UInt64;
}

struct Outcome {
  status @0 :UInt16;
  seq @1 :UInt64;
  head @2 :UInt64;
  deduped @3 :Bool;
  spent @4 :UInt64;
  reserved @5 :UInt64;
  runner @6 :Text;
  cachedTokens @7 :UInt64;
}

struct OutcomeList {
  outcomes @0 :List(Outcome);
  history @1 :Data;
}

struct FindQuery {
  name @0 :Text;
  scope @1 :Text;
}

struct FindReply {
  covered @0 :List(UInt32);
  found @1 :Bool;
  open @2 :Bool;
  chain @3 :List(AdoptedTurn);
}

struct Producer {
  name @0 :Text;
  producerSeq @1 :UInt64;
  seq @2 :UInt64;
  at @3 :Int64;
}

struct Session {
  line @0 :Text;
  team @1 :Text;
  program @2 :Text;
  workKind @3 :Text;
  createdAt @4 :Int64;
  keepFor @5 :Int64;
  touchedAt @6 :Int64;
  head @7 :UInt64;
  archivedSeq @8 :UInt64;
  producers @9 :List(Producer);
  hot @10 :List(Event);
  openTurns @11 :List(UInt64);
  until @12 :Int64;
  spent @13 :UInt64;
  reserved @14 :UInt64;
  openings @15 :List(Text);
  cacheLocations @16 :List(CacheLocation);
}

struct Reservation {
  name @0 :Text;
  words @1 :UInt64;
  until @2 :Int64;
}

struct Tally {
  name @0 :Text;
  spent @1 :UInt64;
  reservations @2 :List(Reservation);
  settled @3 :List(Reservation);
}

struct LineImage {
  version @0 :UInt32;
  clock @1 :Int64;
  sessions @2 :List(Session);
  tallies @3 :List(Tally);
  turns @4 :List(TurnRecord);
  openings @5 :List(Opening);
}

struct CommandQuery {
  group @0 :UInt32;
  commands @1 :List(Command);
}

struct ReadQuery {
  line @0 :Text;
  after @1 :UInt64;
  limit @2 :UInt64;
  wait @3 :Int64;
  tally @4 :Bool;
}

struct ReadReply {
  session @0 :Session;
  events @1 :List(Event);
  spent @2 :UInt64;
  reserved @3 :UInt64;
  clock @4 :Int64;
}

struct ColdChunk {
  group @0 :UInt32;
  line @1 :Text;
  first @2 :UInt64;
  last @3 :UInt64;
  expires @4 :Int64;
  events @5 :List(Event);
}

struct ColdChunkBatch {
  chunks @0 :List(ColdChunk);
}

struct ColdPlace {
  group @0 :UInt32;
  line @1 :Text;
  first @2 :UInt64;
  last @3 :UInt64;
  expires @4 :Int64;
  offset @5 :UInt64;
  length @6 :UInt32;
  checksum @7 :UInt32;
  digest @8 :Data;
}

struct ColdIndex {
  places @0 :List(ColdPlace);
}

struct DigestQuery {
  group @0 :UInt32;
  buckets @1 :List(UInt32);
}

struct RangeDigest {
  line @0 :Text;
  first @1 :UInt64;
  last @2 :UInt64;
  digest @3 :Data;
}

struct DigestReply {
  ranges @0 :List(RangeDigest);
  sums @1 :List(UInt64);
}

struct GetColdQuery {
  line @0 :Text;
  after @1 :UInt64;
  through @2 :UInt64;
}

# --- between fronts ---

struct RunnerNote {
  address @0 :Text;
  cooled @1 :Bool;
}

# --- the feed ---

struct Runner {
  address @0 :Text;
  group @1 :Text;
  domain @2 :Text;
  state @3 :Text;
  since @4 :Int64;
  warmed @5 :Bool;
  life @6 :Text;
  slots @7 :UInt32;
  coldFor @8 :Int64;
  revision @9 :Text;
}

struct Domain {
  name @0 :Text;
  state @1 :Text;
  since @2 :Int64;
}

struct Assignment {
  key @0 :Text;
  owner @1 :Text;
  fence @2 :UInt64;
}

struct Change {
  number @0 :UInt64;
  kind @1 :UInt16;
  at @2 :Int64;
  by @3 :Text;
  expects @4 :Bool;
  expected @5 :UInt64;
  source @6 :Text;
  compiled @7 :Data;
  domain @8 :Domain;
  runners @9 :List(Runner);
  member @10 :Member;
  members @11 :List(Member);
  assignment @12 :Assignment;
  view @13 :View;
  query @14 :Text;
  partial @15 :Bool;
  gone @16 :List(Text);
  feedOrder @17 :UInt64;
  routingOrders @18 :List(TakenOrder);
  routingForgotten @19 :UInt64;
  delta @20 :ConfigDelta;
}

struct TakenOrder {
  digest @0 :UInt64;
  number @1 :UInt64;
}

struct OrderHistory {
  packed @0 :Data;
  forgotten @1 :UInt64;
}

struct ConfigDelta {
  base @0 :UInt64;
  source @1 :Data;
  compiled @2 :Data;
  digest @3 :Data;
}

struct EarlierConfig {
  number @0 :UInt64;
  delta @1 :ConfigDelta;
}

struct View {
  fleet @0 :Text;
  number @1 :UInt64;
  configNumber @2 :UInt64;
  source @3 :Text;
  compiled @4 :Data;
  domains @5 :List(Domain);
  runners @6 :List(Runner);
  foundingStores @7 :List(Member);
  stores @8 :List(Member);
  controls @9 :List(Member);
  assignments @10 :List(Assignment);
  groups @11 :UInt32;
  founding @12 :List(Text);
  retired @13 :List(Member);
  copies @14 :UInt32;
  routingOrders @15 :OrderHistory;
  feedOrders @16 :OrderHistory;
}

struct ControlImage {
  version @0 :UInt32;
  view @1 :View;
  changes @2 :List(Change);
  packedView @3 :Data;
  earlier @4 :List(EarlierConfig);
}

struct FollowQuery {
  member @0 :Member;
  after @1 :UInt64;
  sessionOnly @2 :Bool;
  wait @3 :Int64;
  known @4 :UInt64;
  packed @5 :Bool;
}

struct FollowReply {
  newest @0 :UInt64;
  reset @1 :Bool;
  view @2 :View;
  changes @3 :List(Change);
  members @4 :List(Member);
  held @5 :Int64;
  known @6 :UInt64;
  rosterRead @7 :Bool;
  rosterAge @8 :Int64;
  packedView @9 :Data;
}

struct HoldQuery {
  view @0 :View;
  packedView @1 :Data;
  changes @2 :List(Change);
}

struct NewestQuery {
  after @0 :UInt64;
  packed @1 :Bool;
}

struct NewestReply {
  number @0 :UInt64;
  view @1 :View;
  controlled @2 :Bool;
  packedView @3 :Data;
}

struct SessionBatch {
  from @0 :Text;
  sessions @1 :List(SessionNote);
}

struct SessionNote {
  member @0 :Member;
  age @1 :Int64;
}

struct ChangeQuery {
  change @0 :Change;
  await @1 :UInt64;
}

struct ChangeReply {
  number @0 :UInt64;
  acknowledged @1 :Bool;
}
