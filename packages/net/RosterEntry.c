#include "RosterEntry.h"

#include "Error.h"
#include "Hex.h"

static int
parse_forward(Str text, RosterEntry *this)
{
    uint64_t port, link;
    Str field;

    if (!Str_Split(&text, ';', &field) || Str_ParseU64(field, &port) < 0 ||
        port == 0 || port > UINT16_MAX || !Str_Split(&text, ';', &field) ||
        Hex_Parse(field, this->key, HOST_KEY_BYTES) < 0) {
        return ERR_INVALID;
    }
    this->forward_port = (uint16_t)port;
    if (Str_Split(&text, ';', &field) && Str_ParseU64(field, &link) == 0) {
        this->link_mbps = (uint32_t)MIN(link, UINT32_MAX);
        Str_Split(&text, ';', &this->region);
    }
    return 0;
}

int
RosterEntry_Parse(Str text, RosterEntry *this)
{
    Str first;

    *this = (RosterEntry){.forward_port = 0};
    if (!Str_Split(&text, ' ', &first) ||
        Endpoint_Parse(text, &this->relay) < 0 || this->relay.port == 0) {
        return ERR_PARSE;
    }
    Str_Split(&first, ';', &this->domain);
    /* Fields that later versions may add after the region are ignored. */
    return first.length > 0 ? parse_forward(first, this) : 0;
}

char *
RosterEntry_Format(const RosterEntry *this)
{
    GString *text = Str_ToString(this->domain);

    if (this->forward_port > 0) {
        g_string_append_printf(text, ";%u;", this->forward_port);
        Hex_Append(text, this->key, HOST_KEY_BYTES);
        if (this->link_mbps > 0) {
            g_string_append_printf(text, ";%u;", this->link_mbps);
            Str_AppendTo(this->region, text);
        }
    }
    g_string_append_printf(text, " %s:%u", this->relay.address,
                           this->relay.port);
    return g_string_free(text, FALSE);
}
