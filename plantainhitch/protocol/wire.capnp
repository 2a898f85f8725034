@0xc1f2b3a495867758;
# Frames on the links between entries and agents. Each frame is preceded by its length
# in bytes, as an unsigned 32-bit big-endian integer.

struct Frame {
  stampMs @0 :UInt64;   # the sender's clock
  echoMs @1 :UInt64;    # the latest stamp received from the peer, 0 for none
  ack @2 :UInt64;       # the number of the latest batch of reports received, 0 for none
  union {
    hello @3 :Hello;
    starts @4 :List(Start);
    reports @5 :ReportBatch;
    cancels @6 :List(TaskKey);
    resolve @7 :List(TaskKey);
    configuration @8 :Configuration;
    heartbeat @9 :Void;
    status @10 :AgentStatus;
    call @11 :Call;
    reply @12 :Reply;
    drain @13 :Bool;
    runOrders @14 :RunOrders;
    runReports @15 :RunReports;
    endpoint @16 :EndpointStatus;
    queueLoads @17 :List(QueueLoad);
    introduction @18 :List(Data);   # member rows, as JSON
    evacuations @19 :Evacuations;
  }
}

struct Hello {
  role @0 :Text;
  incarnation @1 :Data;
  name @2 :Text;
  zone @3 :Text;
  protocolVersion @4 :UInt32;
  configurationVersion @5 :UInt64;
  linkNumber @6 :UInt64;  # rises with each link that the sender dials, 0 for none
}

struct AgentStatus {
  endpoint @0 :Text;
  slots @1 :UInt32;
  cores @2 :UInt32;
  memoryMb @3 :UInt32;
  accelerators @4 :UInt32;
  draining @5 :Bool;
  ready @6 :Bool;
  rack @7 :Text;
}

struct TaskKey {
  submission @0 :Data;
  index @1 :UInt32;
  attempt @2 :UInt32;
}

struct Start {
  submission @0 :Data;
  index @1 :UInt32;
  attempt @2 :UInt32;
  className @3 :Text;
  timeoutMs @4 :UInt32;
  traceparent @5 :Text;
  body @6 :Data;
}

struct Report {
  submission @0 :Data;
  index @1 :UInt32;
  attempt @2 :UInt32;
  kind @3 :UInt8;         # 0: not run, 1: succeeded, 2: failed, 3: unknown
  reason @4 :Text;
  retryAfterMs @5 :UInt32;
  runMs @6 :UInt32;
  body @7 :Data;          # the endpoint's answer, or the detail of a failure
}

struct ReportBatch {
  number @0 :UInt64;
  reports @1 :List(Report);
  spare @2 :Int32;        # free slots minus waiting starts, may be negative
  waiting @3 :List(Waiting);
}

struct Waiting {
  className @0 :Text;
  count @1 :UInt32;
}

struct Configuration {
  version @0 :UInt64;
  document @1 :Data;      # JSON, compressed by zlib
}

struct Call {
  number @0 :UInt64;
  operation @1 :Text;
  submission @2 :Data;
  waitMs @3 :UInt32;
  body @4 :Data;
}

struct Reply {
  number @0 :UInt64;
  status @1 :UInt16;
  body @2 :Data;
}

# The structs below are for runs of tasks of jobs.

struct Room {
  cpuMillis @0 :Int32;
  memoryMb @1 :Int32;
  gpus @2 :Int32;
}

struct RunStart {
  task @0 :Text;
  run @1 :UInt32;
  payload @2 :Text;
  room @3 :Room;
  estimateMs @4 :UInt32;
  waitMs @5 :UInt32;      # the longest time that the start may wait for room
  queue @6 :Text;
  checkpoint @7 :Text;
  slackMs @8 :Int32;      # among equal ranks the least slack starts first
  late @9 :Bool;          # the job can no longer end in time
  isolated @10 :Bool;     # must not run beside a run of another job
  sizeMs @11 :UInt32;     # the expected run time at a slowness of 1, 0 if unknown
  bornMs @12 :UInt64;     # the lifetime of the endpoint that it is for, 0 for any
}

struct RunStop {
  task @0 :Text;
  run @1 :UInt32;
}

struct RunOrders {
  number @0 :UInt64;
  starts @1 :List(RunStart);
  stops @2 :List(RunStop);
  known @3 :List(RunStop); # runs that the sender expects to be at the receiver
  resync @4 :Bool;         # the receiver stops the sender's other runs
}

struct RunEnd {
  task @0 :Text;
  run @1 :UInt32;
  end @2 :UInt8;
  reason @3 :Text;
  checkpoint @4 :Text;
  runMs @5 :UInt32;
}

struct RunReports {
  number @0 :UInt64;
  ordersSeen @1 :UInt64;
  ends @2 :List(RunEnd);
  free @3 :Room;          # capacity minus all runs in progress; starts may wait for it
  soon @4 :List(Int32);   # expected free processor at each of FORECAST_HORIZONS_MS
  waiting @5 :List(WaitingRoom);
  pace @6 :Float32;
  crashes @7 :List(EndpointCrash); # not sent before on this link
  slowness @8 :Float32;   # of the endpoint, by the runs of all owners; 0 if unknown
  slownessSamples @9 :UInt16;
  failures @10 :UInt16;   # consecutive failed runs, of all owners
}

struct EndpointCrash {
  endpointId @0 :Text;
  bornMs @1 :UInt64;
  runs @2 :List(CrashedRun);
  ageMs @3 :UInt32;       # since the crash was noticed, when sent
}

struct CrashedRun {
  task @0 :Text;
  queue @1 :Text;
  runMs @2 :UInt32;       # from the order to start it to the crash
  uncertain @3 :Bool;     # not known to have begun, or stopped just before
}

struct WaitingRoom {
  rank @0 :Float64;
  cpuMillis @1 :Int32;
}

struct EndpointStatus {
  endpointId @0 :Text;
  bornMs @1 :UInt64;
  pool @2 :Text;
  ready @3 :Bool;         # accepts starts; no run of an earlier lifetime is in progress
  draining @4 :Bool;
  capacity @5 :Room;
  kind @6 :Text;
  rack @7 :Text;
  labels @8 :List(Text);
  coldForMs @9 :UInt32;  # how much longer the endpoint is slow after its start
}

# An entry sends its own loads to its agents; an agent sends the sums to its entries.
struct QueueLoad {
  queue @0 :Text;
  share @1 :Float64;      # of the fleet's processor
  slackMs @2 :UInt32;
  containedMs @3 :UInt32; # how long its tasks run in a part of the fleet only
  priority @4 :UInt16;    # 0 is the most urgent
  offeredShare @5 :Float64; # the work that arrived lately, as share is given
  waitingShare @6 :Float64; # the work that waits, in seconds of the whole fleet
}

# The availability zones in which no task is to be started.
struct Evacuations {
  revision @0 :UInt64;    # of the store when they were read; the highest is in force
  zones @1 :List(Text);
}
