@0xa1b0c5a2d9f3e871;

struct Horizon {
  holder @0 :UInt64;
  budget @1 :Text;
  horizonTokens @2 :UInt64;
}

struct Record {
  horizonTokens @0 :UInt64;
  sealed @1 :Bool;
}

struct TransferWish {
  receiver @0 :UInt64;
  budget @1 :Text;
  hasSender @2 :Bool;
  sender @3 :UInt64;
  receivedTokens @4 :UInt64;
  wantedTokens @5 :UInt64;
}

enum Status {
  ok @0;
  otherProcess @1;
  refused @2;
}

interface Gate {
  # The bootstrap interface. A caller proves that it knows the fleet's secret, and so does the
  # router that answers; only then are its methods in reach.
  challenge @0 () -> (nonce :Data);
  open @1 (callerNonce :Data, proof :Data) -> (router :Router, proof :Data);
}

interface Router {
  # Payloads marked JSON hold the library's own types.
  hello @0 (greetingJson :Data) -> (greetingJson :Data);
  extend @1 (witness :UInt64, horizons :List(Horizon)) -> (status :Status, records :List(Record));
  seal @2 (witness :UInt64, holder :UInt64, budget :Text) -> (status :Status, record :Record);
  keepBills @3 (holder :UInt64, flushedThrough :UInt64, billsJson :Data) -> (status :Status);
  takeTokens @4 (wish :TransferWish) -> (status :Status, sender :UInt64, totalTokens :UInt64);
  listsSince @5 (generation :UInt64) -> (status :Status, deltaJson :Data);
  findRequest @6 (team :Text, request :Text) -> (status :Status, foundJson :Data);
  placeSuspect @7 (callJson :Data) -> (status :Status, verdictJson :Data);
}
