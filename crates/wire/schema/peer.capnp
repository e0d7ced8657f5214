@0xd07e33a1b5c4f2e9;

# What routers say to each other.
#
# Both sides first prove that they know the fleet's key; `Gate` is all that a stranger can reach.
# Bodies of type Data are the cores' own messages in postcard, behind the protocol version that
# `hello` agreed on.

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
    # The request was not taken; the text names the leader, if known.
    notLeader @1 :Text;
    # The request may or may not have been carried out.
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
