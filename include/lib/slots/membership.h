#ifndef SESAMEPICK_LIB_SLOTS_MEMBERSHIP_H
#define SESAMEPICK_LIB_SLOTS_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.pb-c.h"

enum
{
  HEARTBEAT_PERIOD_MS = 200,
  /* A member without a heartbeat for this long is not chosen as a home. */
  MEMBER_SUSPECT_MS = 700,
  /* A member without a heartbeat for this long is dead: a home to which a majority of the members
   * cede their slots may lend its slots. */
  MEMBER_DEAD_MS = 4000,
  MEMBERS_MAX = 255,
};

enum member_state
{
  /* Not heard yet, but too early to suspect it. */
  MEMBER_UNKNOWN,
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_DEAD,
};

struct member
{
  char *name;
  /* Hash of the name. */
  uint64_t hash;
  uint64_t incarnation;
  /* Arrival of its last heartbeat, and whether there was any. */
  int64_t heard_ms;
  bool heard;
  /* It receives heartbeats of this entry host. */
  bool hears_me;
  bool stopping;
  /* It may lack keys that it should hold. */
  bool keys_young;
  enum member_state state;
  /* Members from which it receives heartbeats, one bit each. All bits are set if the configured
   * names of the two entry hosts differ. */
  uint8_t hears[MEMBERS_MAX / 8 + 1];
};

/* Which of the configured entry hosts can be reached, according to their heartbeats. */
struct membership
{
  struct member *members;
  size_t n;
  size_t self;
  int64_t started_ms;
  /* Time of the last heartbeat of this entry host. */
  int64_t sent_ms;
  /* Incremented by each change that may move a home. */
  uint64_t version;
  /* Hash of all members' names; equal on entry hosts with the same configured names. */
  uint32_t names_hash;
};

struct membership *membership_create (const char *const *names, size_t n, const char *self,
                                      uint64_t incarnation, int64_t now_ms);
void membership_destroy (struct membership *membership);
int membership_find (const struct membership *membership, const char *name);
void membership_handle_heartbeat (struct membership *membership, size_t index,
                                  const Sp__PeerHeartbeat *heartbeat, int64_t now_ms);
void membership_get_heard (const struct membership *membership, uint8_t *bits);
void membership_update (struct membership *membership, int64_t now_ms);
bool membership_member_lost (const struct membership *membership, size_t index);
int membership_home (const struct membership *membership, const char *pool);
void membership_rank (const struct membership *membership, uint64_t key, uint8_t *order);

#endif
