@0xd07e33a1b5c4f2e9;

# RPC interface between routers.
#
# Both sides first prove knowledge of the fleet's key; an unauthenticated peer reaches only `Gate`.
# Fields of type Data hold postcard-encoded messages, whose layout is fixed by the protocol version
# that `hello` negotiates.

struct Configuration {
  revision @0 :UInt64;
  declaration @1 :Text;
  author @2 :Text;
  reason @3 :Text;
  changeId @4 :Text;
  atUnixMillis @5 :UInt64;
}

struct Submitted {
  union {
    reply @0 :Data;
    # The request was not accepted; the text names the leader, if known.
    notLeader @1 :Text;
    # It is unknown whether the request was carried out.
    unknown @2 :Void;
  }
}

interface Gate {
  hello @0 (version :UInt16, nonce :Data) -> (version :UInt16, nonce :Data, proof :Data);
  login @1 (host :Text, proof :Data) -> (router :Router);
}

interface Router {
  gossip @0 (message :Data) -> (reply :Data);
  quorum @1 (message :Data) -> ();
  submit @2 (request :Data) -> (submitted :Submitted);
  configuration @3 (above :UInt64) -> (newer :Configuration);
}
